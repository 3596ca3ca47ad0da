// Command rig plays the cases of the review: it starts the project's own program as separate
// processes on loopback addresses, with stand-ins of backend servers, callers and operators
// around them, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	// Child processes end with the thread that started them, which must live as long as the
	// program.
	runtime.LockOSThread()
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD | rig server SETTINGS")
		return exitNotRun
	}
	if args[0] == "server" {
		if err := runServer(args[1]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		return exitHeld
	}
	play, ok := map[string]func(*deployment) error{
		"short-notice": playShortNotice, "planned-stop": playPlannedStop, "without-end": playWithoutEnd,
	}[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", args[0])
		return exitNotRun
	}
	return playCase(play, args[1])
}

func playCase(play func(*deployment) error, recordFile string) int {
	d, err := newDeployment(recordFile, os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNotRun)
	}()
	err = play(d)
	switch {
	case err == nil:
		d.record.add("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		d.record.add("result: %v", err)
		return exitBroken
	}
	d.record.add("result: the case could not run: %v", err)
	return exitNotRun
}
