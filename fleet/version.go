package fleet

import (
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
)

// versionMemory is the time for which a stream may go on that a version began which is no
// longer listed.
const versionMemory = 2 * time.Minute

// SoleVersion returns the software version that all endpoints of a service run, and
// whether only one has been listed here for versionMemory.
func (v *View) SoleVersion(now time.Time, service string) (string, bool) {
	list := v.services[service]
	at, mixed := v.mixedAt[service]
	if len(list) == 0 || isMixed(list) || mixed && now.Sub(at) < versionMemory {
		return "", false
	}
	return list[0].Version, true
}

func isMixed(list []Endpoint) bool {
	return slices.ContainsFunc(list, func(e Endpoint) bool { return e.Version != list[0].Version })
}

// recordMixed records which services have endpoints of more than one version now.
func (v *View) recordMixed(now time.Time) {
	for service, list := range v.services {
		if isMixed(list) {
			v.mixedAt = kernel.CloneMap(v.mixedAt)
			v.mixedAt[service] = now
		}
	}
}
