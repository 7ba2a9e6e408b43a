package fleet

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

// bucketCount is the number of parts into which the records are divided, so that
// two nodes that differ in one of thousands of records exchange only a small part.
const bucketCount = 256

// record holds the latest known version of one item.
type record struct {
	item       *wire.Item
	endpoint   Endpoint     // zero for the table and for an item that cannot be decoded; only ID and StartMillis for a removed endpoint
	table      *table.Table // nil for an endpoint and for an item that cannot be decoded
	versions   []string     // that a VersionRecord names; nil for other items
	receivedAt time.Time    // when this node received the version
}

// replaces reports whether r is newer than old. The operator numbers the routing
// tables, so a table with a lower number is never newer, whatever the store's version
// of it: a store that was restored from a copy may hold an older table for a moment.
func (r record) replaces(old record) bool {
	return cmp.Or(cmp.Compare(r.tableVersion(), old.tableVersion()), versionOf(r.item).Compare(versionOf(old.item))) > 0
}

// tableVersion returns the version of the routing table, or 0 if r holds none.
func (r record) tableVersion() int64 {
	if r.table == nil {
		return 0
	}
	return r.table.Version()
}

// records holds the records by item name. Copies of a records value are
// independent of each other, since a bucket is copied before it is changed.
type records struct {
	buckets [bucketCount]*bucket // nil for an empty bucket
	digest  uint64               // exclusive or of the digests of the buckets
}

// bucket holds the records whose item names have the same hash modulo
// bucketCount.
type bucket struct {
	records map[string]record // by item name
	digest  uint64            // exclusive or of the hashes of the items that are not removed
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func (rs *records) get(name string) (record, bool) {
	b := rs.buckets[bucketOf(name)]
	if b == nil {
		return record{}, false
	}
	r, ok := b.records[name]
	return r, ok
}

func (rs *records) put(name string, r record) {
	rs.update(name, func(m map[string]record) { m[name] = r })
}

func (rs *records) remove(name string) {
	rs.update(name, func(m map[string]record) { delete(m, name) })
}

// update applies a change to a copy of the bucket that holds name, and updates
// the digests.
func (rs *records) update(name string, change func(m map[string]record)) {
	i := bucketOf(name)
	next := &bucket{records: map[string]record{}}
	if old := rs.buckets[i]; old != nil {
		next.records = maps.Clone(old.records)
		rs.digest ^= old.digest
	}
	change(next.records)
	for name, r := range next.records {
		if !r.item.GetRemoved() {
			next.digest ^= itemHash(name, versionOf(r.item))
		}
	}
	rs.digest ^= next.digest
	rs.buckets[i] = next
}

// all returns an iterator over the item names and their records, in no
// particular order.
func (rs *records) all() iter.Seq2[string, record] {
	return func(yield func(string, record) bool) {
		for _, b := range rs.buckets {
			if b == nil {
				continue
			}
			for name, r := range b.records {
				if !yield(name, r) {
					return
				}
			}
		}
	}
}

// bucketDigests returns the digests of the buckets as a Want carries them.
func (rs *records) bucketDigests() []uint32 {
	list := make([]uint32, bucketCount)
	for i, b := range rs.buckets {
		if b != nil {
			list[i] = uint32(b.digest)
		}
	}
	return list
}

// differingItems returns the items of the buckets whose digests differ from the
// given ones.
func (rs *records) differingItems(digests []uint32) []*wire.Item {
	var items []*wire.Item
	for i, b := range rs.buckets {
		if b == nil || i < len(digests) && digests[i] == uint32(b.digest) {
			continue
		}
		for _, r := range b.records {
			items = append(items, r.item)
		}
	}
	return items
}

// itemHash returns a hash of a name and a version. In era 0 it is that of builds
// without eras.
func itemHash(name string, v Version) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, uint64(v.Revision))
	if v.Era != 0 {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(v.Era))
	}
	return xxhash.Sum64(append(buf, name...))
}
