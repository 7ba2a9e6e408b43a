package origin

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	nodesPerWriter = 64      // one writer saves the streams of that many nodes
	saveAsk        = "save " // before the request in the id of an answer that tells a writer of a stream, which has asked nothing
)

// writer is a node that saves the records of streams.
type writer struct {
	id          string
	incarnation uint64 // one that starts again knows nothing of what its former process was told
}

// writers returns the writers by shard of the requests; empty if the node knows no member. Load pattern:
// each write to the store ends the watches of all that read it, so few nodes write for all.
func writers(m *member.View) []writer {
	owners := m.Owners()
	if len(owners) == 0 {
		return nil
	}
	list := make([]writer, 1+len(owners)/nodesPerWriter)
	for shard := range list {
		id := owner.Top(fmt.Sprintf("origin writer %d", shard), 1, owners)[0]
		list[shard] = writer{id, m.Incarnation(id)}
	}
	return list
}

func shardOf(request string, shards int) int {
	return int(xxhash.Sum64String(request) % uint64(shards))
}

// save returns the effect that makes the writer of a stream save its record. A node without members saves it
// itself.
func save(m *member.View, writers []writer, request string, r record) kernel.Effect {
	if len(writers) > 0 {
		if w := writers[shardOf(request, len(writers))]; w.id != m.Self().GetId() {
			found := &wire.Found{Ask: saveAsk + request, Known: true, Service: r.service, Version: r.version}
			return kernel.Send{To: w.id, Frame: &wire.Frame{Body: &wire.Frame_Found{Found: found}}}
		}
	}
	return kernel.SaveOrigin{Request: request, Service: r.service, Version: r.version}
}

// tellWriters returns the effects that tell each writer that has changed since the last Tick of the streams
// that this node knows. It hears of most from several nodes. Load pattern: a writer that has ended counts as a
// member for some seconds more, in which streams begin that only it was told to save, and then all nodes end.
func (v *View) tellWriters(m *member.View) []kernel.Effect {
	before := v.writers
	v.writers = writers(m)
	if before == nil || slices.Equal(before, v.writers) || len(v.writers) == 0 {
		return nil
	}
	var effects []kernel.Effect
	for _, held := range []*records{v.older, v.recent} {
		for it := held.Iterator(); !it.Done(); {
			request, r, _ := it.Next()
			was, is := before[shardOf(request, len(before))], v.writers[shardOf(request, len(v.writers))]
			if was != is {
				effects = append(effects, save(m, v.writers, request, r))
			}
		}
	}
	return effects
}
