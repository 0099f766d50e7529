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
	"github.com/yardbridge/yardbridge/services/admission/returns"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/gateway"
	"github.com/yardbridge/yardbridge/services/owner"
	"github.com/yardbridge/yardbridge/services/ownership"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// The RPC methods between nodes.
const (
	methodSubmit   = "job.submit"
	methodState    = "job.state"
	methodCancel   = "job.cancel"
	methodPending  = "queue.pending"
	methodClose    = "queue.close"
	methodProbe    = "node.probe"
	methodProbeFor = "node.help"
	methodOffer    = "node.offer"
	methodTakeOver = "pool.take"
	methodReport   = "pool.report"
	methodAllow    = "pool.allow"
	methodCatchUp  = "node.news"
	methodAsk      = "pool.statement"
)

// poolRequest names a pool, and what in it a call refers to.
type poolRequest struct {
	Pool     string `json:"pool"`
	Job      job.ID `json:"job,omitempty"`
	Queue    string `json:"queue,omitempty"`
	Customer string `json:"customer,omitempty"` // on whose behalf the call is made
	Data     []byte `json:"data,omitempty"`     // an encoded submission
	// Remaining is how long the caller of a submission still waits, 0 if it states no time limit.
	Remaining time.Duration `json:"remaining,omitempty"`
	Epoch     uint64        `json:"epoch,omitempty"` // of the owner that hands the pool over, 0 if not stated
}

// reportRequest sends cordons to the owner of a pool and requests the pool's report.
type reportRequest struct {
	Pool    string                  `json:"pool"`
	Cordons scheduler.CordonRequest `json:"asked"`
}

// empty is the result of a call that only succeeds or fails.
type empty struct{}

// methods returns the RPC methods that this node serves.
func (n *Node) methods() map[string]noderpc.HandlerFunc {
	return map[string]noderpc.HandlerFunc{
		methodSubmit:   noderpc.Handle(n.onSubmit),
		methodState:    noderpc.Handle(n.onState),
		methodCancel:   noderpc.Handle(n.onCancel),
		methodPending:  noderpc.Handle(n.onPending),
		methodClose:    noderpc.Handle(n.onClose),
		methodProbe:    noderpc.Handle(n.onProbe),
		methodProbeFor: noderpc.Handle(n.onProbeFor),
		methodOffer:    noderpc.Handle(n.onOffer),
		methodTakeOver: noderpc.Handle(n.onTakeOver),
		methodReport:   noderpc.Handle(n.onReport),
		methodAllow:    noderpc.Handle(n.onAllow),
		methodCatchUp:  noderpc.Handle(n.onCatchUp),
		methodAsk:      noderpc.Handle(n.onAsk),
	}
}

// countCall counts a call of another node, and its bytes, by its method.
func (n *Node) countCall(method string, received, sent int) {
	if n.Ports.Add == nil {
		return
	}
	n.Ports.Add("node."+method+".calls", 1)
	n.Ports.Add("node."+method+".bytes-received", int64(received))
	n.Ports.Add("node."+method+".bytes-sent", int64(sent))
}

// ownedPool returns the owner of a pool on this node.
func (n *Node) ownedPool(pool string) (*owner.Owner, error) {
	o := n.owner(pool)
	if o == nil {
		return nil, errkind.New(errkind.Fenced, "node %s does not own pool %s", n.Setting.Node.Name, pool)
	}
	return o, nil
}

func (n *Node) onSubmit(ctx context.Context, a poolRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	var s job.Submission
	if err := codec.Unmarshal(a.Data, &s); err != nil {
		return nil, errkind.New(errkind.BadRequest, "can't decode submission: %v", err)
	}
	if a.Remaining > 0 {
		ctx = returns.WithTimeLimit(ctx, time.Now().Add(a.Remaining))
	}
	return empty{}, o.Submit(ctx, s)
}

func (n *Node) onState(ctx context.Context, a poolRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.State(ctx, a.Job, a.Customer)
}

func (n *Node) onCancel(ctx context.Context, a poolRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	return empty{}, o.Cancel(ctx, a.Job, a.Customer)
}

func (n *Node) onPending(_ context.Context, a poolRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.Pending(a.Queue)
}

func (n *Node) onProbeFor(ctx context.Context, o directory.Node) (any, error) {
	incarnation, err := n.probe(ctx, o)
	if err == nil && incarnation != o.Incarnation {
		err = errkind.New(errkind.NotFound, "node %s responds as another incarnation", o.Name)
	}
	return empty{}, err
}

// offerResult is the response to an offer.
type offerResult struct {
	Took time.Duration `json:"took"` // that the store took to respond to the node
}

// onOffer returns how long the store takes to respond to this node, or an error if it does not.
func (n *Node) onOffer(ctx context.Context, _ empty) (any, error) {
	v, _ := n.Directory.View()
	if v == nil || n.Gateway.Config() == nil {
		return nil, errkind.New(errkind.Stopping, "node %s has not read the directory and the configuration yet", n.Setting.Node.Name)
	}
	began := n.Clock.Now()
	if _, err := n.Ports.Store.Newest(ctx, directory.Partition, lastKey); err != nil {
		return nil, errkind.New(errkind.LogUnavailable, "the store does not respond to node %s: %v", n.Setting.Node.Name, err)
	}
	return offerResult{n.Clock.Now().Sub(began)}, nil
}

// onAsk returns whether pools of another node have a later owner, as far as this node knows.
func (n *Node) onAsk(_ context.Context, q ownership.Question) (any, error) {
	return n.Ownership.Statement(q)
}

// askBy returns the function that asks another node whether pools of this one have a later owner.
func askBy(c *noderpc.Client) func(ctx context.Context, o directory.Node, q ownership.Question) (ownership.Statement, error) {
	return func(ctx context.Context, o directory.Node, q ownership.Question) (ownership.Statement, error) {
		var a ownership.Statement
		err := c.Call(ctx, o.Address, methodAsk, q, &a)
		return a, err
	}
}

// unclaimed returns the function that tells as of when no other node had claimed a pool that this one owns.
func (n *Node) unclaimed(pool string) func(epoch uint64, confirmed time.Time) (time.Time, string) {
	return func(epoch uint64, confirmed time.Time) (time.Time, string) {
		e := n.statements.Evidence(pool, epoch, confirmed)
		return e.Unclaimed, e.Lack()
	}
}

// lastKey sorts after all keys of the directory: a reading of the keys after it returns nothing,
// and shows that the store responds.
const lastKey = "~"

func (n *Node) offer(ctx context.Context, o directory.Node) (time.Duration, error) {
	var r offerResult
	err := n.client.Call(ctx, o.Address, methodOffer, empty{}, &r)
	return r.Took, err
}

func (n *Node) onTakeOver(ctx context.Context, a poolRequest) (any, error) {
	return n.Ownership.TakeOver(ctx, a.Pool, a.Epoch)
}

// local returns the handler of a pool that this node owns, nil for none.
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

// remote returns the handler of a pool at another node.
func (n *Node) remote(at directory.Node, pool string) *gateway.PoolHandler {
	call := func(ctx context.Context, method string, params poolRequest, result any) error {
		return n.client.Call(ctx, at.Address, method, params, result)
	}
	return &gateway.PoolHandler{
		Submit: func(ctx context.Context, s job.Submission) error {
			data, err := codec.Marshal(s)
			if err != nil {
				return err
			}
			return call(ctx, methodSubmit, poolRequest{Pool: pool, Data: data, Remaining: returns.Remaining(ctx)}, &empty{})
		},
		State: func(ctx context.Context, id job.ID, by string) (job.State, error) {
			var state job.State
			err := call(ctx, methodState, poolRequest{Pool: pool, Job: id, Customer: by}, &state)
			return state, err
		},
		Cancel: func(ctx context.Context, id job.ID, by string) error {
			return call(ctx, methodCancel, poolRequest{Pool: pool, Job: id, Customer: by}, &empty{})
		},
		Pending: func(ctx context.Context, queue string) (int, error) {
			var count int
			err := call(ctx, methodPending, poolRequest{Pool: pool, Queue: queue}, &count)
			return count, err
		},
	}
}

func (n *Node) probeVia(ctx context.Context, helper, o directory.Node) error {
	return n.probes.Call(ctx, helper.Address, methodProbeFor, o, &empty{})
}

func (n *Node) takeOver(ctx context.Context, o directory.Node, pool string, epoch uint64) (directory.Ownership, error) {
	var ownership directory.Ownership
	err := n.client.Call(ctx, o.Address, methodTakeOver, poolRequest{Pool: pool, Epoch: epoch}, &ownership)
	return ownership, err
}

func (n *Node) onReport(ctx context.Context, a reportRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.Report(ctx, a.Cordons)
}

// report sends the cordons to the owner of a pool, on this node or another, and returns the pool's
// report.
func (n *Node) report(ctx context.Context, pool string, cordons scheduler.CordonRequest) (scheduler.Report, error) {
	if o := n.owner(pool); o != nil {
		return o.Report(ctx, cordons)
	}
	var r scheduler.Report
	err := n.callOwner(ctx, pool, methodReport, reportRequest{pool, cordons}, &r)
	return r, err
}

// callOwner makes a call to the owner of a pool at another node.
func (n *Node) callOwner(ctx context.Context, pool, method string, params, result any) error {
	v, _ := n.Directory.View()
	if v == nil {
		return errkind.New(errkind.NoTarget, "the directory has not been read yet")
	}
	at, _, present := v.Owner(pool)
	if !present {
		return errkind.New(errkind.NoTarget, "pool %s has no owner", pool)
	}
	return n.client.Call(ctx, at.Address, method, params, result)
}

// allowRequest requests the quota report of a pool from its owner, and may contain new allowances.
type allowRequest struct {
	Pool  string      `json:"pool"`
	Query quota.Query `json:"question"`
}

func (n *Node) onAllow(ctx context.Context, a allowRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.UpdateAllowances(ctx, a.Query)
}

// updateAllowances sends the new allowances of a query, if it has any, to the owner of a pool, on
// this node or another, and returns the pool's quota report.
func (n *Node) updateAllowances(ctx context.Context, pool string, q quota.Query) (quota.Report, error) {
	if o := n.owner(pool); o != nil {
		return o.UpdateAllowances(ctx, q)
	}
	var s quota.Report
	err := n.callOwner(ctx, pool, methodAllow, allowRequest{pool, q}, &s)
	return s, err
}
