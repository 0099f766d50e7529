// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// runDirectory runs a node's directory on a simulated store.
func runDirectory(ctx context.Context, w *world.World, name string) *Directory {
	d := &Directory{Store: w.Store(name), Clock: clock.Clock{}, Logger: log.Nop(), Self: Node{Name: name, Incarnation: 1}}
	go d.Run(ctx)
	time.Sleep(time.Second)
	return d
}

// TestLaterAssignmentSeesEarlierOnes guards against TWICE: two pools are assigned a queue at the same time, and
// neither learns of the other one.
func TestLaterAssignmentSeesEarlierOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := world.New(1)
		const nodes = 5
		seen := make(chan int, nodes)
		for i := range nodes {
			d := runDirectory(ctx, w, fmt.Sprint("n", i))
			time.AfterFunc(10*time.Second, func() {
				v, err := d.AssignQueues(ctx, fmt.Sprint("p", i), []string{"h/q/", fmt.Sprint("h/", i, "/")})
				assert.Check(t, err)
				seen <- len(v.Queues["h/q/"])
			})
		}
		time.Sleep(20 * time.Second)
		all := make(map[int]bool)
		for range nodes {
			all[<-seen] = true
		}
		assert.Equal(t, len(all), nodes, "two of the pools see the same assignments: %v", all)
		late := runDirectory(ctx, w, "late")
		v, _ := late.View()
		assert.Equal(t, len(v.Queues["h/q/"]), nodes)
		assert.DeepEqual(t, v.Queues["h/3/"], []string{"p3"})
		cancel()
		synctest.Wait()
	})
}

// TestAssignmentWithoutAStoreFails guards against an assignment that counts before it is written.
func TestAssignmentWithoutAStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := world.New(1)
		d := runDirectory(ctx, w, "n1")
		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnavailable = true })
		_, err := d.AssignQueues(ctx, "p", []string{"h/q/"})
		assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnavailable = false })
		v, err := d.AssignQueues(ctx, "p", []string{"h/q/"})
		assert.NilError(t, err)
		assert.DeepEqual(t, v.Queues["h/q/"], []string{"p"})
		cancel()
		synctest.Wait()
	})
}

// TestMergedViewKeepsAssignments guards against an assignment that a node forgets when it learns of the directory
// from another node, which has read less or more.
func TestMergedViewKeepsAssignments(t *testing.T) {
	d := &Directory{Logger: log.Nop()}
	d.apply([]port.Record{{Key: "q/h/q/", Value: []byte("\x82aaab")}}, 0, true)
	d.Merge(&View{Queues: map[string][]string{"h/q/": {"b", "c"}, "h/r/": {"a"}}, End: 7})
	v, _ := d.View()
	assert.DeepEqual(t, v.Queues, map[string][]string{"h/q/": {"a", "b", "c"}, "h/r/": {"a"}})
	d.apply([]port.Record{{Key: "n/x", Offset: 8}}, 0, true)
	v, _ = d.View()
	assert.Equal(t, len(v.Queues["h/q/"]), 3)
}
