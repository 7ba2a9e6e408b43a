package script_test

import (
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	untilTries = 200
	untilPause = 100 * time.Millisecond
)

// until TEXT COMMAND... repeats a command until its output contains TEXT.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until TEXT COMMAND...")
	}
	for range untilTries {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(untilPause)
	}
	ts.Fatalf("%q never printed %q", strings.Join(args[1:], " "), args[0])
}

// expand FILE... replaces the variables in files by their values.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}
