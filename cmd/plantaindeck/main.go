// Command plantaindeck runs a node of a deployment. It also contains the commands
// with which callers, teams and operators use a deployment.
package main

import (
	"os"

	"github.com/plantaindeck/plantaindeck/cmds"
)

func main() {
	os.Exit(cmds.Main())
}
