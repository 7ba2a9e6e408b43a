// Command standin runs the stand-ins for the systems around a deployment, and
// comparisons over them.
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
