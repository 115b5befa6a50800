// Command standin runs the scripted cases of the review: it starts nodes as separate processes with the deploy file's
// command and template, and plays the platform's store, the leafs and the clients around them.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. Each reports whether its rule was broken.
var cases = map[string]func(r *run) (broken bool, err error){
	"twice": runTwice,
	"flood": runFlood,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// runCase runs a case and returns the exit code. The processes that it started have ended when it returns.
func runCase(play func(r *run) (bool, error), program, recordPath string) int {
	r, err := newRun(program, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		<-ended
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(r)
	r.close()
	switch {
	case err != nil:
		r.record("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken; see", recordPath)
		return exitBroken
	}
	fmt.Println("the rule held; see", recordPath)
	return exitHeld
}
