// Command run2 plays the scripts of the second review. It starts the deployed entries as separate processes against
// stand-ins of the platform, its replicas and its clients on loopback addresses, and judges one rule by what clients and
// replicas see.
//
//	run2 SCRIPT FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held and 2 if the script could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a script.
const maxDuration = 115 * time.Second

// errNotReady means that the site did not start.
var errNotReady = errors.New("the entries are not ready")

// script plays a site and returns how the rule was broken; empty if it held.
type script func(s *site, trouble bool) (broken string, err error)

var scripts = map[string]script{
	"cold-roll":    coldRoll,
	"late-version": lateVersion,
	"power-loss":   powerLoss,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: run2 SCRIPT FOLDER")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	s, err := newSite(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitFailed
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	timer := time.AfterFunc(maxDuration, func() { stop <- syscall.SIGTERM })
	defer timer.Stop()
	go func() {
		<-stop
		s.close()
		os.Exit(exitFailed)
	}()
	broken, err := scripts[args[0]](s, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		rec.printf("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	rec.printf("rule held")
	fmt.Println("rule held")
	return exitHeld
}
