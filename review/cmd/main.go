// Command cmd plays one case of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleydeal/parsleydeal/review/harness"
)

// scenario plays a case, without its disruption if trouble is false, and reports whether the rule held.
type scenario func(s *harness.Site, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"failback": failback,
	"resume":   resume,
	"session":  session,
	"stale":    stale,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the scenario of the first argument and writes its record to the file of the second one.
func run(args []string) int {
	const usageArgs = 2
	if len(args) != usageArgs || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cmd SCENARIO RECORD")
		return harness.NotRun
	}
	record, err := harness.NewRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return harness.NotRun
	}
	s, err := harness.NewSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return harness.NotRun
	}
	defer s.Close()
	result := make(chan int, 1)
	go func() { result <- play(s, scenarios[args[0]]) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-signals:
		return harness.NotRun
	}
}

// play plays a scenario and returns the exit code.
func play(s *harness.Site, x scenario) int {
	held, err := x(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.Record.Logf("the case could not run: %v", err)
		return harness.NotRun
	case !held:
		s.Record.Logf("the rule is broken")
		return harness.Broken
	}
	s.Record.Logf("the rule held")
	return harness.Held
}
