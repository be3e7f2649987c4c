// Command standin2 plays the cases of the second review: it starts the nodes as
// separate processes on loopback addresses, beside a stand-in of the store, of the
// endpoints and of their clients, and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	scenarios := map[string]scenario{
		"quota":  playQuota,
		"leave":  playLeave,
		"revoke": playRevoke,
		"slow":   playSlow,
		"clock":  playClock,
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case "+os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// scenario plays one case and reports whether the rule held; an error means that the case could not run.
type scenario func(l *lab, trouble bool) (bool, error)

func run(play scenario, program, recordFile string) int {
	l, err := newLab(program, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err.Error())
		return exitNotRun
	}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		l.close()
		os.Exit(exitNotRun)
	}()
	held, err := play(l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		l.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err.Error())
		return exitNotRun
	}
	if !held {
		return exitBroken
	}
	return exitHeld
}
