package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"first-start-restart": firstStartRestart,
	"first-start-replace": firstStartReplace,
	"first-start-create":  firstStartCreate,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays the case with a name and writes its record into a file.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD; cases:", strings.Join(names, " "))
		return exitNotRun
	}
	r, err := newRun(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](r)
	verdict, code := "held", exitHeld
	switch {
	case err != nil:
		verdict, code = "not run: "+err.Error(), exitNotRun
	case broken:
		verdict, code = "BROKEN", exitBroken
	}
	r.notef("verdict: %s", verdict)
	r.close()
	fmt.Println(verdict)
	return code
}
