// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// appender appends batches to the log, one after another.
type appender struct {
	ledger  *Ledger
	limiter *rate.Limiter
	rate    float64 // appends per second
}

// run appends the queued proposals until the context ends.
func (a *appender) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.ledger.waitForWork(ctx) {
			return
		}
		a.waitForRate(ctx)
		batch, settled := a.ledger.nextBatch()
		a.ledger.notifySent(batch)
		data, err := batch.Encode()
		if err != nil {
			panic(err) // records can always be encoded
		}
		a.write(ctx, data, settled)
	}
}

// waitForRate waits until the rate limit allows the next append.
func (a *appender) waitForRate(ctx context.Context) {
	now := a.ledger.Clock.Now()
	if wait := a.limiter.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		a.ledger.pause(ctx, wait)
	}
}

// adapt changes the rate after an append was accepted or refused.
func (a *appender) adapt(accepted bool) {
	if accepted {
		a.rate = min(a.rate+appendRateStep, maxAppendRate)
	} else {
		a.rate = max(a.rate/2, minAppendRate)
	}
	a.limiter.SetLimitAt(a.ledger.Clock.Now(), rate.Limit(a.rate))
}

// write repeats the append of a batch until the batch was read back. After an error the append may
// have taken effect; the fold drops the copies that a repetition leaves.
func (a *appender) write(ctx context.Context, data []byte, settled <-chan struct{}) {
	l := a.ledger
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := l.Log.Append(bounded, data)
		cancel()
		wait := readBackPause
		switch {
		case err == nil:
			a.adapt(true)
			wait = appendTimeout
		case errkind.Is(err, errkind.Overloaded):
			a.adapt(false)
			wait = time.Duration((0.5 + rand.Float64()) * float64(appendPause))
		default:
			l.Logger.Debug().Err(err).Msg("append not confirmed")
			l.appendByPeer(ctx, data)
		}
		select {
		case <-settled:
			return
		case <-l.Clock.After(wait):
		case <-ctx.Done():
		}
	}
}

// appendByPeer asks a peer to append a batch, because this process alone may be cut off from the
// log. The batch keeps this process as its writer, and the fold drops it if it is already on the
// log.
func (l *Ledger) appendByPeer(ctx context.Context, data []byte) {
	if l.Peers.Append == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := l.Peers.Append(bounded, data); err != nil {
		l.Logger.Debug().Err(err).Msg("append by a peer not confirmed")
	}
}
