package script_test

import (
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	untilTries    = 200
	untilInterval = 100 * time.Millisecond
)

// until implements the script command "until TEXT COMMAND...", which repeats a
// command, with untilInterval between two runs, until it succeeds with TEXT in its
// standard output. It fails after untilTries runs.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until TEXT COMMAND...")
	}
	for range untilTries {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(untilInterval)
	}
	ts.Fatalf("%q did not succeed with %q in its output", strings.Join(args[1:], " "), args[0])
}

// expand implements the script command "expand FILE...", which replaces the variables
// in files by their values.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}
