package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSoleVersion checks that a stream of unknown version goes on only if no other version
// has been listed for long enough.
func TestSoleVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	v := &View{services: map[string][]Endpoint{"s": {{ID: "a", Version: "v1"}, {ID: "b", Version: "v1"}}}}
	assert := func(at time.Time, want bool) {
		t.Helper()
		version, sole := v.SoleVersion(at, "s")
		qt.Assert(t, sole, qt.Equals, want)
		qt.Assert(t, version == "v1", qt.Equals, want)
	}
	assert(now, true)
	v.services["s"] = append(v.services["s"], Endpoint{ID: "c", Version: "v2"})
	assert(now, false)
	v.recordMixed(now)
	v.services["s"] = v.services["s"][:2]
	assert(now.Add(versionMemory-1), false)
	assert(now.Add(versionMemory), true)
	_, sole := v.SoleVersion(now, "other")
	qt.Assert(t, sole, qt.IsFalse)
}
