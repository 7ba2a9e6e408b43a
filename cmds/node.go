package cmds

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/plantaindeck/plantaindeck/config"
	"github.com/plantaindeck/plantaindeck/node"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func nodeCommand() *cobra.Command {
	var settings config.Node
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run the daemon of an entry host",
		Long: "Run the daemon of an entry host. SIGTERM or SIGINT stops it gracefully: it waits for the\n" +
			"responses in progress, for at most --grace. A second signal stops it at once.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := settings.Check(); err != nil {
				return &usageError{err}
			}
			return runNode(settings)
		},
	}
	settings.AddFlags(cmd.Flags())
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	cmd.Flags().AddGoFlag(logFlags.Lookup("v"))
	return cmd
}

// runNode starts a node and runs it until a signal tells it to stop. The first
// signal starts a graceful stop, which the second one cuts short.
func runNode(settings config.Node) error {
	if settings.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryLimitMiB) << 20)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	n, err := node.Start(context.Background(), node.Config{Settings: settings, Now: time.Now()})
	if err != nil {
		return err
	}
	select {
	case err := <-n.Done():
		return err
	case <-signals:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-signals:
		cancel()
		return <-stopped
	}
}
