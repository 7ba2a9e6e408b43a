package feed

import (
	"slices"

	"github.com/plantaindeck/plantaindeck/table"
)

// withColdBounds returns a configuration whose services have the excess and the slack of b. They
// are part of the table so that all nodes divide the same.
func withColdBounds(cfg table.Config, b table.ColdBound) table.Config {
	if b.Excess == 0 {
		b.Excess, b.Slack = table.DefaultColdExcess, table.DefaultColdSlack
	}
	cfg.Services = slices.Clone(cfg.Services)
	for i := range cfg.Services {
		cold := &cfg.Services[i].Cold
		cold.Excess, cold.Slack = max(b.Excess, 1), max(b.Slack, 0)
	}
	return cfg
}
