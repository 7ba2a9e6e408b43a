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

var lastScript atomic.Int64

// Gives each script loopback addresses of its own: $NET.1 and so on.
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

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"until":  until,
		"expand": expand,
	}})
}
