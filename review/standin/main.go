// Command standin runs one case of the review: stand-ins of the platform's store,
// endpoints and clients around processes of the system.
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

const usageArguments = 3

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != usageArguments {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	cases := map[string]func(*lab) (bool, error){
		"stale_rejection":     staleRejection,
		"slow_reader":         slowReader,
		"upload_burst":        uploadBurst,
		"leave_before_kill":   leaveBeforeKill,
		"leave_after_kill":    leaveAfterKill,
		"leave_before_return": leaveBeforeReturn,
		"rolled_limit":        rolledLimit,
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	l.endOnSignal()
	broken, err := f(l)
	switch {
	case err != nil:
		l.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		l.printf("the rule was broken")
		return exitBroken
	}
	l.printf("the rule held")
	return exitHeld
}

// endOnSignal ends all processes of the case when this one is told to stop.
func (l *lab) endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		l.close()
		os.Exit(exitNotRun)
	}()
}
