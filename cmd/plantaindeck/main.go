// Command plantaindeck runs a node of a deployment, and is what callers, teams
// and operators use to talk to one.
package main

import (
	"os"

	"github.com/plantaindeck/plantaindeck/cmds"
)

func main() {
	os.Exit(cmds.Main())
}
