// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/adapters/noderpc"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/gateway"
	"github.com/yardbridge/yardbridge/services/owner"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// The methods between nodes.
const (
	methodSubmit  = "job.submit"
	methodState   = "job.state"
	methodCancel  = "job.cancel"
	methodPending = "queue.pending"
	methodProbe   = "node.probe"
	methodHelp    = "node.help"
	methodOffer   = "node.offer"
	methodTake    = "pool.take"
	methodReport  = "pool.report"
	methodAllow   = "pool.allow"
	methodNews    = "node.news"
)

// onPool names a pool, and what of it a call is about.
type onPool struct {
	Pool     string `json:"pool"`
	Job      job.ID `json:"job,omitempty"`
	Queue    string `json:"queue,omitempty"`
	Customer string `json:"customer,omitempty"` // on whose behalf the call comes
	Data     []byte `json:"data,omitempty"`     // a submission, encoded
}

// reportAsk asks the owner of a pool for its report.
type reportAsk struct {
	Pool  string                  `json:"pool"`
	Asked scheduler.CordonRequest `json:"asked"`
}

// empty is what a call answers that only succeeds or fails.
type empty struct{}

// methods returns what this node answers to others.
func (n *Node) methods() map[string]noderpc.HandlerFunc {
	return map[string]noderpc.HandlerFunc{
		methodSubmit:  noderpc.Handle(n.onSubmit),
		methodState:   noderpc.Handle(n.onState),
		methodCancel:  noderpc.Handle(n.onCancel),
		methodPending: noderpc.Handle(n.onPending),
		methodProbe:   noderpc.Handle(n.onProbe),
		methodHelp:    noderpc.Handle(n.onHelp),
		methodOffer:   noderpc.Handle(n.onOffer),
		methodTake:    noderpc.Handle(n.onTake),
		methodReport:  noderpc.Handle(n.onReport),
		methodAllow:   noderpc.Handle(n.onAllow),
		methodNews:    noderpc.Handle(n.onNews),
	}
}

// owned returns the owner of a pool on this node.
func (n *Node) owned(pool string) (*owner.Owner, error) {
	o := n.owner(pool)
	if o == nil {
		return nil, errkind.New(errkind.Fenced, "node %s does not own pool %s", n.Setting.Node.Name, pool)
	}
	return o, nil
}

func (n *Node) onSubmit(ctx context.Context, a onPool) (any, error) {
	o, err := n.owned(a.Pool)
	if err != nil {
		return nil, err
	}
	var s job.Submission
	if err := codec.Unmarshal(a.Data, &s); err != nil {
		return nil, errkind.New(errkind.BadRequest, "submission: %v", err)
	}
	return empty{}, o.Submit(ctx, s)
}

func (n *Node) onState(ctx context.Context, a onPool) (any, error) {
	o, err := n.owned(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.State(ctx, a.Job, a.Customer)
}

func (n *Node) onCancel(ctx context.Context, a onPool) (any, error) {
	o, err := n.owned(a.Pool)
	if err != nil {
		return nil, err
	}
	return empty{}, o.Cancel(ctx, a.Job, a.Customer)
}

func (n *Node) onPending(_ context.Context, a onPool) (any, error) {
	o, err := n.owned(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.Pending(a.Queue)
}

func (n *Node) onHelp(ctx context.Context, o directory.Node) (any, error) {
	life, err := n.probe(ctx, o)
	if err == nil && life != o.Incarnation {
		err = errkind.New(errkind.NotFound, "node %s has another life", o.Name)
	}
	return empty{}, err
}

// freshContact is how long ago the store must have answered this node for it to be able to
// take a pool over; else it is asked anew.
const freshContact = 50 * time.Millisecond

// onOffer returns nothing where the store answers this node, and else an error.
func (n *Node) onOffer(ctx context.Context, _ empty) (any, error) {
	v, _ := n.Directory.View()
	if v == nil || n.Gateway.Config() == nil {
		return nil, errkind.New(errkind.Stopping, "node %s has not read the directory and the configuration", n.Setting.Node.Name)
	}
	if n.Directory.Age() < freshContact {
		return empty{}, nil
	}
	if _, err := n.Ports.Store.Newest(ctx, directory.Partition, lastKey); err != nil {
		return nil, errkind.New(errkind.LogUnavailable, "the store does not answer node %s: %v", n.Setting.Node.Name, err)
	}
	return empty{}, nil
}

// lastKey follows all keys of the directory: a reading of those after it brings nothing, and
// shows that the store answers.
const lastKey = "~"

func (n *Node) offer(ctx context.Context, o directory.Node) error {
	return n.client.Call(ctx, o.Address, methodOffer, empty{}, &empty{})
}

func (n *Node) onTake(ctx context.Context, a onPool) (any, error) {
	return n.Ownership.TakeOver(ctx, a.Pool)
}

// local returns the desk of a pool that this node owns, nil for none.
func (n *Node) local(pool string) *gateway.PoolHandler {
	o := n.owner(pool)
	if o == nil {
		return nil
	}
	return &gateway.PoolHandler{
		Submit:  o.Submit,
		State:   o.State,
		Cancel:  o.Cancel,
		Pending: func(_ context.Context, queue string) (int, error) { return o.Pending(queue) },
	}
}

// remote returns the desk of a pool at another node.
func (n *Node) remote(at directory.Node, pool string) *gateway.PoolHandler {
	call := func(ctx context.Context, method string, params onPool, result any) error {
		return n.client.Call(ctx, at.Address, method, params, result)
	}
	return &gateway.PoolHandler{
		Submit: func(ctx context.Context, s job.Submission) error {
			data, err := codec.Marshal(s)
			if err != nil {
				return err
			}
			return call(ctx, methodSubmit, onPool{Pool: pool, Data: data}, &empty{})
		},
		State: func(ctx context.Context, id job.ID, by string) (job.State, error) {
			var state job.State
			err := call(ctx, methodState, onPool{Pool: pool, Job: id, Customer: by}, &state)
			return state, err
		},
		Cancel: func(ctx context.Context, id job.ID, by string) error {
			return call(ctx, methodCancel, onPool{Pool: pool, Job: id, Customer: by}, &empty{})
		},
		Pending: func(ctx context.Context, queue string) (int, error) {
			var count int
			err := call(ctx, methodPending, onPool{Pool: pool, Queue: queue}, &count)
			return count, err
		},
	}
}

func (n *Node) ask(ctx context.Context, helper, o directory.Node) error {
	return n.probes.Call(ctx, helper.Address, methodHelp, o, &empty{})
}

func (n *Node) take(ctx context.Context, o directory.Node, pool string) (directory.Ownership, error) {
	var taken directory.Ownership
	err := n.client.Call(ctx, o.Address, methodTake, onPool{Pool: pool}, &taken)
	return taken, err
}

func (n *Node) onReport(ctx context.Context, a reportAsk) (any, error) {
	o, err := n.owned(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.Report(ctx, a.Asked)
}

// report asks the owner of a pool for its report, on this node or another.
func (n *Node) report(ctx context.Context, pool string, asked scheduler.CordonRequest) (scheduler.Report, error) {
	if o := n.owner(pool); o != nil {
		return o.Report(ctx, asked)
	}
	var r scheduler.Report
	err := n.callOwner(ctx, pool, methodReport, reportAsk{pool, asked}, &r)
	return r, err
}

// callOwner makes a call to the owner of a pool at another node.
func (n *Node) callOwner(ctx context.Context, pool, method string, params, result any) error {
	v, _ := n.Directory.View()
	if v == nil {
		return errkind.New(errkind.NoTarget, "the directory has not been read")
	}
	at, _, present := v.Owner(pool)
	if !present {
		return errkind.New(errkind.NoTarget, "pool %s has no owner", pool)
	}
	return n.client.Call(ctx, at.Address, method, params, result)
}

// allowAsk asks the owner of a pool for what it tells of its allowances.
type allowAsk struct {
	Pool     string      `json:"pool"`
	Question quota.Query `json:"question"`
}

func (n *Node) onAllow(ctx context.Context, a allowAsk) (any, error) {
	o, err := n.owned(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.UpdateAllowances(ctx, a.Question)
}

// allow asks the owner of a pool for what it tells of its allowances, on this node or another.
func (n *Node) allow(ctx context.Context, pool string, q quota.Query) (quota.Report, error) {
	if o := n.owner(pool); o != nil {
		return o.UpdateAllowances(ctx, q)
	}
	var s quota.Report
	err := n.callOwner(ctx, pool, methodAllow, allowAsk{pool, q}, &s)
	return s, err
}
