package entry

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
)

const (
	evacuatedRest  = maxRest + time.Hour // for which an endpoint in an evacuated data centre is closed, as nobody knows when the evacuation ends; longer than any rest
	evacuatedRetry = time.Second         // after which a caller is asked to come back if all endpoints are in evacuated data centres
)

// EvacuatedError reports that a request was not sent because the endpoint's data centre was
// evacuated after the endpoint had been chosen.
type EvacuatedError struct {
	Endpoint string
	Centre   string
}

// Error names the endpoint and its data centre.
func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("endpoint %s gets no requests, as data centre %s is evacuated", e.Endpoint, e.Centre)
}

// withoutEvacuated returns the endpoints whose data centres are not evacuated. Load pattern: in
// a large deployment a choice draws a few random endpoints of other data centres, and if all but
// one of these are evacuated, none that takes requests may be among them.
func withoutEvacuated(view *fleet.View, list []fleet.Endpoint) []fleet.Endpoint {
	if len(view.Evacuations()) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), view.IsEvacuated)
}

// describeRest says for how long no endpoint takes requests, or that the evacuation is the
// reason.
func describeRest(rest time.Duration) string {
	if rest >= evacuatedRest {
		return "while their data centres are evacuated"
	}
	return "for " + rest.Round(time.Millisecond).String()
}

// retryAfterRest returns the time after which a caller is asked to come back if no endpoint takes
// requests for rest.
func retryAfterRest(rest time.Duration) time.Duration {
	if rest >= evacuatedRest {
		return evacuatedRetry
	}
	return rest
}
