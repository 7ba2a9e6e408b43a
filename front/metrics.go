package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantaindeck/plantaindeck/apierr"
)

// requestMetrics are the metrics of requests and their tokens.
type requestMetrics struct {
	set            *metrics.Set
	tokensTotal    *metrics.Counter
	tokenGap       *metrics.Histogram // seconds between two tokens of a generation
	firstTokenTime *metrics.Histogram // seconds from the request to its first token
}

func newRequestMetrics(set *metrics.Set) requestMetrics {
	return requestMetrics{
		set:            set,
		tokensTotal:    set.GetOrCreateCounter("plantaindeck_tokens_total"),
		tokenGap:       set.GetOrCreateHistogram("plantaindeck_token_gap_seconds"),
		firstTokenTime: set.GetOrCreateHistogram("plantaindeck_first_token_seconds"),
	}
}

// countError counts an error response by its code and outcome.
func (m requestMetrics) countError(err *apierr.Error) {
	m.set.GetOrCreateCounter(fmt.Sprintf("plantaindeck_errors_total{code=%q,outcome=%q}", err.Code, err.Outcome)).Inc()
}

// countCompleted counts a request that ran to completion.
func (m requestMetrics) countCompleted(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("plantaindeck_completed_total{service=%q}", service)).Inc()
}
