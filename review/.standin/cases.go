//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

var services, headroom = []string{"tillbook", "ledgerroom"}, "backhouse"

// startSite starts machines and three nodes, and waits until these are ready and their pools have owners.
func startSite(s *site, routes ...route) error {
	for _, p := range services {
		for i := range 3 {
			if err := s.machines.add(fmt.Sprintf("m-%s-%d", p, i+1), p, zones[i]); err != nil {
				return err
			}
		}
	}
	for i := range 2 {
		if err := s.machines.add(fmt.Sprintf("m-%s-%d", headroom, i+1), headroom, zones[i]); err != nil {
			return err
		}
	}
	s.configure(services, headroom, routes...)
	for range 3 {
		if _, err := s.addNode(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.await(10 * time.Second); err != nil {
			return err
		}
	}
	for _, r := range routes {
		if err := awaitQueue(s, r.prefix); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// awaitQueue waits until all nodes answer for a queue.
func awaitQueue(s *site, prefix string) error {
	for _, n := range s.nodes {
		ok := false
		for end := time.Now().Add(10 * time.Second); !ok && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			status, _ := s.call(n, "GET", prefix, nil)
			ok = status == 200
		}
		if !ok {
			return fmt.Errorf("node %s does not answer for queue %s", n.name, prefix)
		}
	}
	return nil
}

// withoutRestarts reports whether only the manifest is to change.
func withoutRestarts() bool { return os.Getenv("TROUBLE") == "config" }

// rollGap is gap_s of roll_term at share 1.0 in the site file.
const rollGap = 2 * time.Second

// roll stops and starts all nodes in turn.
func roll(s *site) error {
	for _, n := range s.nodes {
		began := time.Now()
		s.rec.log("node %s gets SIGTERM", n.name)
		n.stop()
		if err := n.start(); err != nil {
			return err
		}
		s.rec.log("node %s starts again", n.name)
		if err := n.await(10 * time.Second); err != nil {
			return err
		}
		time.Sleep(rollGap - time.Since(began))
	}
	return nil
}

// submit sends a job, up to five times as clients with four retries do, until it is accepted.
func submit(s *site, n *node, path string, j job) error {
	for range 5 {
		if status, _ := s.call(n, "POST", path, j); status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job at %s was not accepted", path)
}

func allStarted(s *site, id string, tasks int) bool {
	s.obs.mu.Lock()
	defer s.obs.mu.Unlock()
	n := 0
	for name, t := range s.obs.tasks {
		if strings.HasPrefix(name, id+".") && t.starts > 0 {
			n++
		}
	}
	return n >= tasks
}

func wait(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// playTwice: a job of five steps is accepted and its first tasks work. A new manifest replaces the route by one of the same host
// and prefix whose workers are those of another service; then the nodes are stopped and started in turn. The
// client sends the same ID again, some seconds after its 2xx.
//
// TROUBLE=config has the new manifest without the restarts.
func playTwice(s *site, trouble bool) error {
	const id, prefix = "5c0e7a21d94b36f8", "/puxa400/"
	before := route{name: "r-k9m68k7", prefix: prefix, service: services[0], maxAttempts: 2}
	after := route{name: "r-8nbkxxm", prefix: prefix, service: services[1], maxAttempts: 2}
	other := route{name: "r-yj8pjbv", prefix: "/bobo563/lo7/", service: services[1], maxAttempts: 2}
	if err := startSite(s, before, other); err != nil {
		return err
	}
	s.expect(id, behaviour{spec: "settle the deposits", work: 5 * time.Second, limit: 2})
	j := job{Spec: "settle the deposits"}
	for i := range 5 { // as many steps, and as long tasks, as the largest jobs of the class deposit-settle have
		j.Steps = append(j.Steps, step{Count: 2, Cpu: 1900, MemMb: 3500, EstimateMs: 5000})
		if i > 0 {
			j.Steps[i].After = []int{i - 1}
		}
	}
	if err := submit(s, s.nodes[0], prefix+id, j); err != nil {
		return err
	}
	if !wait(5*time.Second, func() bool { return allStarted(s, id, 2) }) {
		return fmt.Errorf("the job's tasks did not start")
	}
	if trouble {
		s.configure(services, headroom, after, other)
		time.Sleep(time.Second)
	}
	if trouble && !withoutRestarts() {
		if err := roll(s); err != nil {
			return err
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(time.Second)
	for _, n := range s.nodes {
		s.call(n, "GET", prefix+id, nil)
	}
	if err := submit(s, s.nodes[1], prefix+id, j); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s.call(s.nodes[1], "GET", prefix+id, nil)
	return nil
}

// playBudget: a job whose task fails by its own fault each time is accepted on a queue that allows three
// attempts. A new manifest drops the route; then the nodes are stopped and started in turn.
func playBudget(s *site, trouble bool) error {
	const id, prefix = "9a417c02be5d1f36", "/puxa400/"
	route1 := route{name: "r-k9m68k7", prefix: prefix, service: services[0], maxAttempts: 3}
	other := route{name: "r-yj8pjbv", prefix: "/bobo563/lo7/", service: services[1], maxAttempts: 2}
	if err := startSite(s, route1, other); err != nil {
		return err
	}
	s.expect(id, behaviour{spec: "settle the deposits", work: 5 * time.Second, fails: true, limit: 3})
	j := job{Spec: "settle the deposits", Steps: []step{{Count: 1, Cpu: 1900, MemMb: 3500, EstimateMs: 5000}}}
	if err := submit(s, s.nodes[0], prefix+id, j); err != nil {
		return err
	}
	if !wait(5*time.Second, func() bool { return allStarted(s, id, 1) }) {
		return fmt.Errorf("the job's task did not start")
	}
	if trouble {
		s.configure(services, headroom, other)
		time.Sleep(time.Second)
	}
	if trouble && !withoutRestarts() {
		if err := roll(s); err != nil {
			return err
		}
	}
	time.Sleep(35 * time.Second)
	return nil
}
