//go:build review

// Command standin plays the scripted cases of the review: it starts the project's program as separate
// processes on loopback addresses, and serves stand-ins of the store, the workers, the machines, the
// operator and the clients to them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// limit is how long a case may take; one that takes longer could not run.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// played plays a case; it returns an error if the case could not run.
type played func(s *site, trouble bool) error

var cases = map[string]struct {
	rule string
	play played
}{
	"lost":   {"LOST", playLost},
	"twice":  {"TWICE", playTwice},
	"crash":  {"LOST", playCrash},
	"budget": {"BUDGET", playBudget},
}

// giveUp ends the case, as one that could not run, after its time or when this process is to stop.
func giveUp(s *site, rec *recorder, dir string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	most := limit
	if text := os.Getenv("REVIEW_LIMIT"); text != "" {
		if d, err := time.ParseDuration(text); err == nil {
			most = min(d, limit)
		}
	}
	select {
	case <-stop:
		rec.log("the case could not run: it was stopped")
	case <-time.After(most):
		rec.log("the case could not run: it takes longer than %s", most)
	}
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
		}
	}
	_ = os.RemoveAll(dir)
	os.Exit(2)
}

func run(name, folder string) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "yardbridge-review-"+strconv.Itoa(os.Getpid())+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", name, trouble)
	s, err := newSite(rec, dir)
	if err != nil {
		rec.log("the case could not run: %v", err)
		return 2
	}
	defer s.end()
	defer s.keepLogs()
	go giveUp(s, rec, dir)
	if err := c.play(s, trouble); err != nil {
		rec.log("the case could not run: %v", err)
		return 2
	}
	s.obs.mu.Lock()
	defer s.obs.mu.Unlock()
	if n := s.obs.broken[c.rule]; n > 0 {
		rec.log("result: %s was broken %d times", c.rule, n)
		return 1
	}
	rec.log("result: %s held", c.rule)
	return 0
}
