package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// StallThreshold is the longest gap between two tokens of a stream that does not count
// as a stall.
const StallThreshold = 67 * time.Millisecond

const (
	maxMicroseconds   = int64(time.Hour / time.Microsecond) // largest value of a histogram
	significantDigits = 3                                   // of the values of a histogram
)

// Result collects what callers saw of one kind of request in a run. It may be used
// by several goroutines.
type Result struct {
	mu             sync.Mutex
	stallThreshold time.Duration           // longest gap between two tokens that is not a stall
	firstToken     *hdrhistogram.Histogram // time to the first token, microseconds
	gaps           *hdrhistogram.Histogram // gaps between tokens, microseconds
	total          *hdrhistogram.Histogram // time to the end of a complete response, microseconds
	sent           int                     // requests
	complete       int                     // complete responses
	tokens         int                     // received, including those of responses that failed
	stallTime      time.Duration           // sum of the parts of gaps beyond stallThreshold
	outcomes       map[string]int          // number of requests by failure, or by "complete"
}

func newResult(stallThreshold time.Duration) *Result {
	return &Result{
		stallThreshold: stallThreshold,
		firstToken:     hdrhistogram.New(1, maxMicroseconds, significantDigits),
		gaps:           hdrhistogram.New(1, maxMicroseconds, significantDigits),
		total:          hdrhistogram.New(1, maxMicroseconds, significantDigits),
		outcomes:       map[string]int{},
	}
}

// sample is what the caller of one request saw.
type sample struct {
	scheduled time.Time   // when the request was to be sent
	tokens    []time.Time // when each token arrived
	end       time.Time
	failure   string // in the form of failureName; empty for a complete response
}

// add adds the sample of one request to the result.
func (r *Result) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.tokens += len(s.tokens)
	if len(s.tokens) > 0 {
		recordDuration(r.firstToken, s.tokens[0].Sub(s.scheduled))
	}
	for i := 1; i < len(s.tokens); i++ {
		gap := s.tokens[i].Sub(s.tokens[i-1])
		recordDuration(r.gaps, gap)
		r.stallTime += max(0, gap-r.stallThreshold)
	}
	if s.failure != "" {
		r.outcomes[s.failure]++
		return
	}
	r.complete++
	r.outcomes["complete"]++
	recordDuration(r.total, s.end.Sub(s.scheduled))
}

// recordDuration adds d to a histogram of microseconds.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// Durations outside the range of the histogram count as its lowest or
	// highest value.
	if err := h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds)); err != nil {
		panic(err)
	}
}

// Summary contains the figures of a result, for tables and JSON. The number in a
// name is a percentile. Times are in milliseconds unless stated otherwise.
type Summary struct {
	Policy            string         `json:"policy"`
	Seed              uint64         `json:"seed"`
	Kind              string         `json:"kind"`
	Sent              int            `json:"sent"`
	Complete          int            `json:"complete"`
	CompletePerSecond float64        `json:"persec"`  // complete responses per second
	TokensPerSecond   float64        `json:"tokens"`  // tokens per second
	First50           float64        `json:"first50"` // time to the first token
	First95           float64        `json:"first95"`
	First99           float64        `json:"first99"`
	Gap50             float64        `json:"gap50"` // between two tokens
	Gap95             float64        `json:"gap95"`
	Gap99             float64        `json:"gap99"`
	Total50           float64        `json:"total50"` // to the end of a complete response
	Total99           float64        `json:"total99"`
	StallSeconds      float64        `json:"stall"`    // sum over all requests, seconds
	Outcomes          map[string]int `json:"outcomes"` // number of requests by failure, or by "complete"
}

// Summary returns the figures of the result of a run that lasted the given number
// of seconds.
func (r *Result) Summary(policy string, seed uint64, kind string, seconds float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Summary{
		Policy: policy, Seed: seed, Kind: kind, Sent: r.sent, Complete: r.complete,
		CompletePerSecond: float64(r.complete) / seconds, TokensPerSecond: float64(r.tokens) / seconds,
		First50: ms(r.firstToken, 50), First95: ms(r.firstToken, 95), First99: ms(r.firstToken, 99),
		Gap50: ms(r.gaps, 50), Gap95: ms(r.gaps, 95), Gap99: ms(r.gaps, 99),
		Total50: ms(r.total, 50), Total99: ms(r.total, 99),
		StallSeconds: r.stallTime.Seconds(), Outcomes: r.outcomes,
	}
}

// WriteTable writes a table of summaries to w, one per line.
func WriteTable(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tseed\tkind\tsent\tcomplete\t/s\ttokens/s\tfirst50\tfirst95\tfirst99\tgap50\tgap95\tgap99\ttotal50\ttotal99\tstall s\t")
	for _, s := range summaries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t\n",
			s.Policy, s.Seed, s.Kind, s.Sent, s.Complete, s.CompletePerSecond, s.TokensPerSecond, s.First50, s.First95, s.First99,
			s.Gap50, s.Gap95, s.Gap99, s.Total50, s.Total99, s.StallSeconds)
	}
	return t.Flush()
}
