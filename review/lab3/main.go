// Command lab3 plays the script cases of the third review: it starts nodes as separate
// processes, with stand-ins for the store, the upstreams and the callers, and checks
// one rule from what those see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is the time in which a case must end.
const maxRun = 115 * time.Second

// cases are the plays by name; each returns whether the rule was broken, with what was seen.
var cases = map[string]func(l *lab, trouble bool) (broken bool, seen string, err error){
	"keys":  playKeys,
	"left":  playLeft,
	"drill": playDrill,
	"slow":  playSlow,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, path string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	l, err := newLab(program, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() { ended <- l.play(play) }()
	select {
	case code := <-ended:
		return code
	case <-interrupted:
		l.note("interrupted")
	case <-time.After(maxRun):
		l.note("not over in time")
	}
	return exitNotRun
}

func (l *lab) play(play func(*lab, bool) (bool, string, error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("trouble: %t", trouble)
	broken, seen, err := play(l, trouble)
	if err != nil {
		l.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	verdict, code := "held", exitHeld
	if broken {
		verdict, code = "broken", exitBroken
	}
	l.note("%s: %s", verdict, seen)
	fmt.Printf("%s: %s\n", verdict, seen)
	return code
}
