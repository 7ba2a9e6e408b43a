package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/table"
)

// serverMetrics are the server's metrics. No label takes the id of a request or an
// endpoint, so that the number of series stays small.
type serverMetrics struct {
	set           *metrics.Set
	retries       *metrics.Counter
	retriesDenied *metrics.Counter
	brokenStreams *metrics.Counter
	rests         *metrics.Counter
	limits        *metrics.Counter
	crashes       *metrics.Counter
	quarantined   *metrics.Counter
	rejectedEarly *metrics.Counter
	unsigned      *metrics.Counter
}

func newServerMetrics(set *metrics.Set, s *Server) *serverMetrics {
	set.GetOrCreateGauge("plantaindeck_active_requests", func() float64 { return float64(s.Active()) })
	set.GetOrCreateGauge("plantaindeck_table_version", func() float64 {
		if t := s.view().Table(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	set.GetOrCreateGauge("plantaindeck_table_age_seconds", func() float64 {
		if at := s.view().TableUpdatedAt(); !at.IsZero() {
			return time.Since(at).Seconds()
		}
		return 0
	})
	set.GetOrCreateGauge("plantaindeck_store_news_age_seconds", func() float64 {
		return time.Since(s.view().LastStoreContact()).Seconds()
	})
	set.GetOrCreateGauge("plantaindeck_items_fetched_total", func() float64 { fetched, _ := s.view().FetchCounts(); return float64(fetched) })
	set.GetOrCreateGauge("plantaindeck_item_fetch_timeouts_total", func() float64 { _, timeouts := s.view().FetchCounts(); return float64(timeouts) })
	set.GetOrCreateGauge("plantaindeck_rate_limited_endpoints", func() float64 { return float64(s.view().LimitedCount()) })
	set.GetOrCreateGauge("plantaindeck_evacuated_centres", func() float64 { return float64(len(s.view().Evacuations())) })
	set.GetOrCreateGauge("plantaindeck_cold_endpoints", func() float64 { return float64(s.view().ColdCount()) })
	set.GetOrCreateGauge("plantaindeck_waiting", func() float64 { return float64(s.rooms.length()) })
	set.GetOrCreateGauge("plantaindeck_unreachable_endpoints", func() float64 { return float64(s.unreachableCount()) })
	set.GetOrCreateGauge(`plantaindeck_engine_slow_factor{engine="slowest"}`, func() float64 { slowest, _ := s.slowFactors(time.Now()); return slowest })
	set.GetOrCreateGauge(`plantaindeck_engine_slow_factor{engine="median"}`, func() float64 { _, median := s.slowFactors(time.Now()); return median })
	set.GetOrCreateGauge("plantaindeck_quarantines", func() float64 { return float64(poison.Of(s.cfg.Daemon.State()).Len(time.Now())) })
	set.GetOrCreateGauge("plantaindeck_held_placements", func() float64 { return float64(s.heldPlacements()) })
	for _, o := range askOutcomes {
		set.GetOrCreateCounter(askedMetric(o))
	}
	return &serverMetrics{
		set:           set,
		retries:       set.GetOrCreateCounter("plantaindeck_repeats_total"),
		retriesDenied: set.GetOrCreateCounter("plantaindeck_repeats_denied_total"),
		rests:         set.GetOrCreateCounter("plantaindeck_endpoint_rests_total"),
		limits:        set.GetOrCreateCounter("plantaindeck_endpoint_limits_total"),
		crashes:       set.GetOrCreateCounter("plantaindeck_endpoint_crashes_total"),
		quarantined:   set.GetOrCreateCounter("plantaindeck_quarantined_requests_total"),
		rejectedEarly: set.GetOrCreateCounter("plantaindeck_rejected_early_total"),
		unsigned:      set.GetOrCreateCounter("plantaindeck_unsigned_responses_total"),
		brokenStreams: set.GetOrCreateCounter("plantaindeck_broken_streams_total"),
	}
}

// recordEnd records the outcome and the duration of a request that has ended.
func (m *serverMetrics) recordEnd(kind table.Kind, err *apierr.Error, took time.Duration) {
	outcome := "answered"
	if err != nil {
		outcome = string(err.Code)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantaindeck_entry_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`plantaindeck_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

// addRetriesLeft adds a gauge of the retries at a service that this node may
// still make.
func (m *serverMetrics) addRetriesLeft(service string, left func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`plantaindeck_repeats_left{service=%q}`, service), left)
}

// recordEvacuation counts a result of the evacuation of a generation.
func (m *serverMetrics) recordEvacuation(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantaindeck_evacuations_total{result=%q}`, result)).Inc()
}

// recordRoomWait records how long a request waited for an engine with room.
func (m *serverMetrics) recordRoomWait(kind table.Kind, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`plantaindeck_place_wait_seconds{kind=%q}`, kind)).Update(took.Seconds())
}
