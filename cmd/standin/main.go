// Command standin runs the stand-ins for the systems around a deployment.
package main

import (
	"fmt"
	"os"

	"github.com/plantaindeck/plantaindeck/fakes"
)

func main() {
	if err := fakes.Root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		os.Exit(1)
	}
}
