package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantaindeck/plantaindeck/apierr"
)

// counters are the front's metrics.
type counters struct {
	set    *metrics.Set
	tokens *metrics.Counter
	gaps   *metrics.Histogram
	first  *metrics.Histogram
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:    set,
		tokens: set.GetOrCreateCounter("plantaindeck_tokens_total"),
		gaps:   set.GetOrCreateHistogram("plantaindeck_token_gap_seconds"),
		first:  set.GetOrCreateHistogram("plantaindeck_first_token_seconds"),
	}
}

// Counts a request that failed.
func (c counters) failed(err *apierr.Error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("plantaindeck_errors_total{code=%q,outcome=%q}", err.Code, err.Outcome)).Inc()
}

// Counts a request that ran to its end.
func (c counters) completed(service string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("plantaindeck_completed_total{service=%q}", service)).Inc()
}
