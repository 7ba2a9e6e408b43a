package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// GapLimit is the longest time between two tokens that does not count as a
// stall.
const GapLimit = 67 * time.Millisecond

const (
	maxValue = int64(time.Hour / time.Microsecond)
	digits   = 3
)

// Result is what callers saw of one kind of request in a run.
type Result struct {
	mu       sync.Mutex
	limit    time.Duration           // gap beyond which a stream stalls
	first    *hdrhistogram.Histogram // time to the first token, microseconds
	gaps     *hdrhistogram.Histogram // between tokens, microseconds
	total    *hdrhistogram.Histogram // whole answer, microseconds
	sent     int
	complete int
	tokens   int
	stall    time.Duration
	outcomes map[string]int
}

func newResult(limit time.Duration) *Result {
	return &Result{
		limit:    limit,
		first:    hdrhistogram.New(1, maxValue, digits),
		gaps:     hdrhistogram.New(1, maxValue, digits),
		total:    hdrhistogram.New(1, maxValue, digits),
		outcomes: map[string]int{},
	}
}

// sample is what the caller of one request saw.
type sample struct {
	due    time.Time
	tokens []time.Time
	end    time.Time
	err    string // empty for a complete answer
}

func (r *Result) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.tokens += len(s.tokens)
	if len(s.tokens) > 0 {
		record(r.first, s.tokens[0].Sub(s.due))
	}
	for i := 1; i < len(s.tokens); i++ {
		gap := s.tokens[i].Sub(s.tokens[i-1])
		record(r.gaps, gap)
		r.stall += max(0, gap-r.limit)
	}
	if s.err != "" {
		r.outcomes[s.err]++
		return
	}
	r.complete++
	r.outcomes["complete"]++
	record(r.total, s.end.Sub(s.due))
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value beyond the histogram's end counts as its end.
	if err := h.RecordValue(min(max(d.Microseconds(), 1), maxValue)); err != nil {
		panic(err)
	}
}

// Summary is a result in numbers, for tables and JSON. Times are milliseconds.
type Summary struct {
	Policy   string         `json:"policy"`
	Seed     uint64         `json:"seed"`
	Kind     string         `json:"kind"`
	Sent     int            `json:"sent"`
	Complete int            `json:"complete"`
	PerSec   float64        `json:"persec"` // complete answers a second
	Tokens   float64        `json:"tokens"` // a second
	First50  float64        `json:"first50"`
	First95  float64        `json:"first95"`
	First99  float64        `json:"first99"`
	Gap50    float64        `json:"gap50"`
	Gap95    float64        `json:"gap95"`
	Gap99    float64        `json:"gap99"`
	Total50  float64        `json:"total50"`
	Total99  float64        `json:"total99"`
	Stall    float64        `json:"stall"` // sum, seconds
	Outcomes map[string]int `json:"outcomes"`
}

// Summary returns the numbers of a result over the seconds of a run.
func (r *Result) Summary(policy string, seed uint64, kind string, seconds float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Summary{
		Policy: policy, Seed: seed, Kind: kind, Sent: r.sent, Complete: r.complete,
		PerSec: float64(r.complete) / seconds, Tokens: float64(r.tokens) / seconds,
		First50: ms(r.first, 50), First95: ms(r.first, 95), First99: ms(r.first, 99),
		Gap50: ms(r.gaps, 50), Gap95: ms(r.gaps, 95), Gap99: ms(r.gaps, 99),
		Total50: ms(r.total, 50), Total99: ms(r.total, 99),
		Stall: r.stall.Seconds(), Outcomes: r.outcomes,
	}
}

// Table prints summaries, one a line.
func Table(w io.Writer, list []Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tseed\tkind\tsent\tcomplete\t/s\ttokens/s\tfirst50\tfirst95\tfirst99\tgap50\tgap95\tgap99\ttotal50\ttotal99\tstall s\t")
	for _, s := range list {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t\n",
			s.Policy, s.Seed, s.Kind, s.Sent, s.Complete, s.PerSec, s.Tokens, s.First50, s.First95, s.First99,
			s.Gap50, s.Gap95, s.Gap99, s.Total50, s.Total99, s.Stall)
	}
	return t.Flush()
}
