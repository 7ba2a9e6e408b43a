package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// versionsPrefix is before the name of the service in the name of the item that holds the
// VersionRecord of the service.
const versionsPrefix = "versions/"

// VersionsItem returns the item for a VersionRecord, in its JSON form, that the store holds in a
// version, or its tombstone if there is no body.
func VersionsItem(service string, body []byte, v Version) *wire.Item {
	return &wire.Item{Name: versionsPrefix + service, Era: v.Era, Revision: v.Revision, Body: body, Removed: len(body) == 0}
}

// versionsServiceOf returns the service whose VersionRecord an item holds, and whether it is such
// an item.
func versionsServiceOf(item *wire.Item) (string, bool) {
	return strings.CutPrefix(item.GetName(), versionsPrefix)
}

// decodeVersions returns the versions that an item with a VersionRecord names, none if it is
// removed.
func decodeVersions(item *wire.Item) ([]string, error) {
	if item.GetRemoved() {
		return nil, nil
	}
	r, err := DecodeVersionRecord(item.GetBody())
	if err != nil {
		return nil, &ItemError{Name: item.GetName(), Err: err}
	}
	return r.Versions, nil
}

// IsRecorded reports whether the store's record of versions names the version of an endpoint, as
// far as this node knows. Only then may the endpoint begin a stream that its caller may take up
// again: a node that finds out nothing else of the stream takes the only version that the record
// names for the one that began it.
func (v *View) IsRecorded(e Endpoint) bool {
	return slices.Contains(v.recorded[e.Service], e.Version)
}

// SoleOrigin is SoleOrigin for the records of versions that this node knows.
func (v *View) SoleOrigin(now time.Time) bool {
	records := map[string]VersionRecord{}
	for service := range v.recorded {
		r, ok := v.records.get(versionsPrefix + service)
		if !ok || r.item.GetRemoved() {
			continue
		}
		record, err := DecodeVersionRecord(r.item.GetBody())
		if err != nil {
			return false
		}
		records[service] = record
	}
	_, _, sole := SoleOrigin(now, v.Era(), records)
	return sole
}

// MissesRecord reports whether this node lists an endpoint of a service whose streams a caller may take
// up again, which is not leaving, and knows no record that names its version.
func (v *View) MissesRecord() bool {
	return slices.ContainsFunc(v.Table().ResumableServices(), func(service string) bool {
		return slices.ContainsFunc(v.services[service], func(e Endpoint) bool { return !e.Leaving && !v.IsRecorded(e) })
	})
}

// putVersions applies a record of versions and returns the effect that reports it.
func (v *View) putVersions(service string, r record) []kernel.Effect {
	v.recorded = kernel.CloneMap(v.recorded)
	v.recorded[service] = r.versions
	version := versionOf(r.item)
	return []kernel.Effect{kernel.Record{Kind: "versions", Detail: fmt.Sprintf("the store's record of service %s names %q, era %d revision %d", service, r.versions, version.Era, version.Revision)}}
}
