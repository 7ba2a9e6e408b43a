package table

import "time"

// Urgent describes the most urgent generations of a service.
type Urgent struct {
	Priority         int
	LatencyObjective time.Duration // the smallest of the routes of that priority
}

// urgentByService returns the most urgent generations with a latency objective that the
// routes send to each service.
func urgentByService(routes []Route) map[string]Urgent {
	services := map[string]Urgent{}
	for _, r := range routes {
		if r.Kind != KindStream || r.LatencyObjective <= 0 {
			continue
		}
		for _, s := range r.Shares {
			u, known := services[s.Service]
			if !known || r.Priority < u.Priority || r.Priority == u.Priority && r.LatencyObjective < u.LatencyObjective {
				services[s.Service] = Urgent{Priority: r.Priority, LatencyObjective: r.LatencyObjective}
			}
		}
	}
	return services
}

// MostUrgent returns the most urgent generations of a service, or false if no route with a
// latency objective sends it any.
func (t *Table) MostUrgent(service string) (Urgent, bool) {
	u, ok := t.urgent[service]
	return u, ok
}
