package script_test

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"github.com/plantaindeck/plantaindeck/cmds"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the programs available to the scripts under their names; the test
// binary runs them.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"plantaindeck": func() { os.Exit(cmds.Main()) },
		"standin": func() {
			if err := fakes.Root().Execute(); err != nil {
				fmt.Fprintln(os.Stderr, "Error:", err)
				os.Exit(1)
			}
		},
	})
}

// lastScript is the number of the script that was set up last.
var lastScript atomic.Int64

// setup gives each script a loopback network of its own, with addresses $NET.1 and
// so on, and the settings that its nodes share. The network depends on the
// process ID, so that two test processes seldom use the same one.
func setup(env *testscript.Env) error {
	pid := os.Getpid()
	net := fmt.Sprintf("127.%d.%d", 128+(pid&0x3f), lastScript.Add(1))
	env.Setenv("NET", net)
	env.Setenv("PLANTAINDECK_KV", net+".1:2379")
	env.Setenv("PLANTAINDECK_HOSTS", net+".3:8300")
	env.Setenv("PLANTAINDECK_SECRET", "a-secret-for-scripts-only")
	env.Setenv("PLANTAINDECK_TTL", "1s")
	return nil
}

// TestScripts runs every script under testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"until":  until,
		"expand": expand,
	}})
}
