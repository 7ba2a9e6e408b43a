package fleet

import (
	"fmt"
	"strings"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// evacuationPrefix is before the name of the data centre in the name of the item that
// evacuates it.
const evacuationPrefix = "evacuate/"

// EvacuationItem returns the item by which a data centre is evacuated: its endpoints get no
// more requests until the item is removed.
func EvacuationItem(centre string, v Version) *wire.Item {
	return &wire.Item{Name: evacuationPrefix + centre, Era: v.Era, Revision: v.Revision}
}

// EvacuationEndItem returns the tombstone of an EvacuationItem.
func EvacuationEndItem(centre string, v Version) *wire.Item {
	item := EvacuationItem(centre, v)
	item.Removed = true
	return item
}

// evacuationOf returns the data centre that an item evacuates, or whose evacuation it ends,
// and whether it is such an item.
func evacuationOf(item *wire.Item) (string, bool) {
	return strings.CutPrefix(item.GetName(), evacuationPrefix)
}

// IsEvacuated reports whether the endpoint's data centre is evacuated, so that the endpoint gets
// no requests.
func (v *View) IsEvacuated(e Endpoint) bool {
	_, evacuated := v.evacuated[e.Centre]
	return evacuated
}

// Evacuations returns the evacuated data centres with the versions of their items. The caller
// must not change the map.
func (v *View) Evacuations() map[string]Version { return v.evacuated }

// putEvacuation applies the item that evacuates a data centre, or its tombstone, and returns
// the effect that reports a change.
func (v *View) putEvacuation(centre string, item *wire.Item) []kernel.Effect {
	version := versionOf(item)
	_, before := v.evacuated[centre]
	v.evacuated = kernel.CloneMap(v.evacuated)
	kind := "evacuate"
	if item.GetRemoved() {
		delete(v.evacuated, centre)
		kind = "evacuate-end"
	} else {
		v.evacuated[centre] = version
	}
	if !before && item.GetRemoved() {
		return nil
	}
	return []kernel.Effect{kernel.Record{Kind: kind, Detail: fmt.Sprintf("data centre %s, era %d revision %d", centre, version.Era, version.Revision)}}
}
