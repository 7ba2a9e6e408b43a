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
		Long: "Run the daemon of an entry host on the users' platform until SIGTERM or SIGINT, which stop it gracefully.\n" +
			"The settings come from the file that the platform writes.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			err := platform.Run()
			var bad *platform.SettingsError
			if errors.As(err, &bad) {
				return &usageError{err}
			}
			return err
		},
	}
}
