// Command standin runs fakes of the systems around a deployment, such as engines,
// plain services and the key-value service. Its command compare measures a
// deployment and simple load-balancing policies on fake engines.
package main

import (
	"fmt"
	"os"

	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/trial"
)

func main() {
	root := fakes.Root()
	root.AddCommand(trial.Command())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		os.Exit(1)
	}
}
