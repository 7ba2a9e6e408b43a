package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/table"
)

// TestResumePoint replays callers that come back during a release, when one engine of two
// runs another version, and after the route has changed.
func TestResumePoint(t *testing.T) {
	mixed := fleet.Of(startNetwork(t, 4, 2).State(0))
	model, other := table.Share{Service: "model", Weight: 1}, table.Share{Service: "other", Weight: 1}
	for name, test := range map[string]struct {
		view    *fleet.View
		service string
		shares  []table.Share
		origin  kernel.OriginFound
		want    string // version; empty for a rejection
	}{
		"known":                             {mixed, "model", []table.Share{model}, kernel.OriginFound{Known: true, Service: "model", Version: "v1"}, "v1"},
		"known, no longer listed":           {mixed, "model", []table.Share{model}, kernel.OriginFound{Known: true, Service: "model", Version: "v0"}, "v0"},
		"unknown":                           {mixed, "model", []table.Share{model}, kernel.OriginFound{}, ""},
		"another service of the route":      {mixed, "other", []table.Share{other, model}, kernel.OriginFound{Known: true, Service: "model", Version: "v1"}, "v1"},
		"a service that the route has lost": {mixed, "other", []table.Share{other}, kernel.OriginFound{Known: true, Service: "model", Version: "v1"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			rr := &routedRequest{req: &Request{}, route: &table.Route{Name: "r", Shares: test.shares}, service: &table.Service{Name: test.service}}
			svc, version, err := resumePoint(test.view, rr, test.origin)
			qt.Assert(t, version, qt.Equals, test.want)
			qt.Assert(t, err == nil, qt.Equals, test.want != "")
			if err == nil {
				qt.Assert(t, svc.Name, qt.Equals, "model")
			}
		})
	}
}
