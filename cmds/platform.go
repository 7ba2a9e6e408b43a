package cmds

import (
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/platform"
	"github.com/spf13/cobra"
)

func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run the daemon of an entry host on the users' platform",
		Long: "Run the daemon of an entry host on the users' platform. SIGTERM or SIGINT stops it gracefully.\n" +
			"The settings are read from the file that the platform writes.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			err := platform.Run()
			var invalid *platform.SettingsError
			if errors.As(err, &invalid) {
				return &usageError{err}
			}
			return err
		},
	}
}
