// Command standin runs the cases of the review that are scripts. It starts the project's program
// as a platform would, and plays the store, the servers and the callers.
//
// Usage: standin CASE RECORD. The current directory is the repository's root. With TROUBLE=0 in the
// environment the case runs without its disruption. The exit status is 1 if the rule was broken, 0
// if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken is the end of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

var cases = map[string]func(d *deployment, trouble bool) error{
	"foreign-entry":    foreignEntry,
	"rolling-restart":  rollingRestart,
	"upgrade-in-place": upgradeInPlace,
	"crashing-request": crashingRequest,
	"crashing-part":    crashingPart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns the exit status.
func play(name, path string, trouble bool) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log.say("case %s, with its disruption: %v", name, trouble)
	status := 0
	d, err := newDeployment(root, log)
	if err == nil {
		result := make(chan error, 1)
		go func() { result <- cases[name](d, trouble) }()
		select {
		case err = <-result:
		case <-time.After(maxTime):
			err = fmt.Errorf("the case has not ended within %s", maxTime)
		}
		d.close()
	}
	switch {
	case errors.Is(err, errBroken):
		status = 1
		log.say("BROKEN: %v", err)
	case err != nil:
		status = 2
		log.say("could not run: %v", err)
	default:
		log.say("held")
	}
	if err := log.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}
