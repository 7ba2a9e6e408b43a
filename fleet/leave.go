package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/wire"
)

// leaveReport says that an endpoint is leaving although its record does not say so.
// There are three kinds: a response of the endpoint said so, which counts until the
// endpoint has started again; its load report said so, which counts until its record
// changes; or its record of an earlier era of the store said so, which counts until its
// record changes or the report lapses.
type leaveReport struct {
	startMillis int64     // start of the endpoint's process
	receivedAt  time.Time // zero if an earlier era said so
	goneAt      time.Time // when the endpoint will be gone; zero if unknown
	record      Version   // of the record that it outweighs; zero if it outweighs all records of the process
	lapsesAt    time.Time // zero if it does not lapse
}

// covers reports whether the report counts for the endpoint of a record.
func (l leaveReport) covers(r record) bool {
	return l.startMillis == r.endpoint.StartMillis && (l.record == Version{} || l.record == versionOf(r.item))
}

// isStale reports whether a record shows that the report will not count again.
func (l leaveReport) isStale(r record) bool {
	return r.endpoint.StartMillis > l.startMillis || l.record != Version{} && l.record != versionOf(r.item)
}

// selfReported reports whether the endpoint itself said that it is leaving.
func (l leaveReport) selfReported() bool { return l.lapsesAt.IsZero() }

// lapsed reports whether the report no longer counts because of its age.
func (l leaveReport) lapsed(now time.Time) bool {
	return !l.lapsesAt.IsZero() && !now.Before(l.lapsesAt)
}

// sendLeaving tells all other nodes which endpoints reported that they are leaving.
func (v *View) sendLeaving(now time.Time, m *member.View) []kernel.Effect {
	u := v.statusMessage(now, m)
	u.Changes = true
	return v.sendUsage(m, m.Owners(), u)
}

// addLeaving adds the reports of endpoints themselves to a Usage.
func (v *View) addLeaving(now time.Time, u *wire.Usage) {
	for _, id := range slices.Sorted(maps.Keys(v.leaveReports)) {
		report := v.leaveReports[id]
		if !report.selfReported() {
			continue
		}
		millis, startMillis := uint32(0), int64(0)
		if !report.goneAt.IsZero() {
			millis = uint32(max(report.goneAt.Sub(now).Milliseconds(), 0)) + 1
		}
		if report.record == (Version{}) {
			startMillis = report.startMillis
		}
		u.Leaving = append(u.Leaving, id)
		u.Left = append(u.Left, millis)
		u.Born = append(u.Born, startMillis)
	}
}

// decodeLeaving returns the reports in a Usage of another node. It leaves out those of
// endpoints that are not listed here: nodes that remembered them for each other would
// never forget them.
func (v *View) decodeLeaving(now time.Time, u *wire.Usage) []kernel.LeaveReported {
	var reports []kernel.LeaveReported
	for i, id := range u.GetLeaving() {
		if _, listed := v.Endpoint(id); !listed {
			continue
		}
		report := kernel.LeaveReported{Endpoint: id}
		if i < len(u.GetBorn()) {
			report.StartMillis = u.GetBorn()[i]
		}
		if i < len(u.GetLeft()) && u.GetLeft()[i] > 0 {
			report.GoneAt = now.Add(time.Duration(u.GetLeft()[i]-1) * time.Millisecond)
		}
		reports = append(reports, report)
	}
	return reports
}

// recordLeaveReport stores an endpoint's report that it is leaving, and forwards it at
// once to all nodes. A report that is known already changes nothing.
func (v *View) recordLeaveReport(now time.Time, m *member.View, e kernel.LeaveReported) (*View, []kernel.Effect) {
	next := *v
	effects, changed := next.markLeaving(now, []kernel.LeaveReported{e})
	if !changed {
		return v, nil
	}
	return &next, append(effects, next.sendLeaving(now, m)...)
}

// markLeaving stores the reports of endpoints that they are leaving. It returns the
// effects for those that were not leaving before, and whether any report is new.
func (v *View) markLeaving(now time.Time, reports []kernel.LeaveReported) (effects []kernel.Effect, changed bool) {
	for _, e := range reports {
		id := e.Endpoint
		r, known := v.records.get(endpointPrefix + id)
		listed := known && r.endpoint.Addr != ""
		next := leaveReport{startMillis: e.StartMillis, receivedAt: now, goneAt: e.GoneAt}
		if e.StartMillis == 0 {
			if !listed || v.withReport(r).Leaving {
				continue
			}
			next.startMillis, next.record = r.endpoint.StartMillis, versionOf(r.item)
		}
		old, reported := v.leaveReports[id]
		if known && next.isStale(r) || reported && old.record == (Version{}) && old.startMillis >= next.startMillis {
			continue
		}
		wasLeaving := listed && v.withReport(r).Leaving
		if !changed {
			v.leaveReports = kernel.CloneMap(v.leaveReports)
			changed = true
		}
		v.leaveReports[id] = next
		if !listed || wasLeaving {
			continue
		}
		v.refreshEndpoint(id)
		effects = append(effects,
			kernel.Record{Kind: "endpoint", Endpoint: id, Detail: "leaving (self-reported)"},
			kernel.NotifyLeaving{Endpoint: id, GoneAt: e.GoneAt})
	}
	return effects, changed
}
