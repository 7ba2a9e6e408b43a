package carry

import (
	"context"
	"net"
	"time"

	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wire"
)

// ForNode returns the Carrier of the node that d drives, which connects directly by dial; nil
// for TCP.
func ForNode(d *daemon.Daemon, dial func(ctx context.Context, t relay.Target) (net.Conn, error), seed uint64) *Carrier {
	if dial == nil {
		dial = relay.DialTCP
	}
	return New(Config{
		Dial: dial,
		Open: func(ctx context.Context, node string, first *wire.Frame) (Stream, error) {
			return d.OpenStream(ctx, node, first)
		},
		Nodes:     func() []string { return member.Of(d.State()).OthersServing() },
		Endpoints: func() []string { return fleet.Of(d.State()).SettledAddrs(time.Now()) },
		Record:    d.Record,
		Metrics:   d.Metrics(),
		Seed:      seed,
	})
}
