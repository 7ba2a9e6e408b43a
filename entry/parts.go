package entry

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"time"

	"github.com/plantaindeck/plantaindeck/place"
)

const (
	prefixTTL   = 5 * time.Second // for which an engine is assumed to keep the prompts that it has run
	maxPrefixes = 512             // of one endpoint that are remembered
)

// promptPrefix identifies the first parts of a prompt.
type promptPrefix struct {
	hash   uint64 // of the ids of the parts
	tokens int    // of the parts together
}

// promptPrefixes returns the prefixes of a prompt, shortest first: its first part, its first
// two and so on. Parts without a token count end the list, as their credit is unknown.
func promptPrefixes(req *Request) []promptPrefix {
	h := fnv.New64a()
	var list []promptPrefix
	total := 0
	for i, id := range req.PromptParts {
		if i >= len(req.PartTokens) || req.PartTokens[i] <= 0 {
			break
		}
		h.Write(binary.AppendUvarint(nil, uint64(len(id))))
		h.Write([]byte(id))
		total = min(total+req.PartTokens[i], req.PromptTokens)
		list = append(list, promptPrefix{hash: h.Sum64(), tokens: total})
	}
	return list
}

// addPrefixes records that the endpoint has prefilled a prompt.
func (st *endpointStats) addPrefixes(now time.Time, list []promptPrefix) {
	if st.prefixes == nil {
		st.prefixes = map[uint64]time.Time{}
	}
	if len(st.prefixes)+len(list) > maxPrefixes {
		maps.DeleteFunc(st.prefixes, func(_ uint64, at time.Time) bool { return now.Sub(at) >= prefixTTL })
	}
	if len(st.prefixes)+len(list) > maxPrefixes {
		clear(st.prefixes) // the next prompts fill it with what is recent
	}
	for _, p := range list {
		st.prefixes[p.hash] = now
	}
}

// cachedPrompt returns the tokens of the longest prefix that the endpoint has recently
// prefilled, as far as this node knows.
func (st *endpointStats) cachedPrompt(now time.Time, list []promptPrefix) int {
	for i := len(list) - 1; i >= 0; i-- {
		if at, ok := st.prefixes[list[i].hash]; ok && now.Sub(at) < prefixTTL {
			return list[i].tokens
		}
	}
	return 0
}

// withoutCached returns the usage of a generation on an engine that keeps a part of its
// prompt.
func (u usage) withoutCached(c place.Candidate) usage {
	u.prompt = max(u.prompt-c.CachedPrompt, 0)
	return u
}
