package daemon

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOddHost guards against nodes that no longer follow the list of hosts because of one
// entry that another program has written.
func TestOddHost(t *testing.T) {
	const first, last = `{"ip":"10.0.0.1","peer":"10.0.0.1:7000","centre":"a"}`, `{"ip":"10.0.0.2","state":"leaving","front":"x,]}\\\"[{"}`
	for name, odd := range map[string]string{
		"none":              "",
		"nested arrays":     strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + ",",
		"nested field":      `{"ip":"10.0.0.3","extra":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000) + "},",
		"number for an ip":  `{"ip":1e999},`,
		"array for a state": `{"ip":"10.0.0.3","state":[]},`,
		"port out of range": `{"ip":"10.0.0.3","peer":"10.0.0.3:70000"},`,
		"port 0":            `{"ip":"10.0.0.3","peer":"10.0.0.3:0"},`,
		"number":            "1e999,",
		"no value":          "x,",
		"empty":             ",",
	} {
		t.Run(name, func(t *testing.T) {
			hosts, err := decodeHosts([]byte(" [" + first + "," + odd + last + "]\n"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, hosts, qt.HasLen, 2)
			e := hostsListed(hosts)
			qt.Assert(t, e.Nodes, qt.HasLen, 1)
			qt.Assert(t, e.Leaving, qt.DeepEquals, []string{"10.0.0.2"})
		})
	}
	for _, text := range []string{"", "{}", "[", "[[]", `["]`, "[}]"} {
		_, err := decodeHosts([]byte(text))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
	hosts, err := decodeHosts([]byte("[]"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hosts, qt.HasLen, 0)
}
