package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"heatherrouter/core/mono"
	"heatherrouter/core/turn"
	"heatherrouter/io/clock"
	"heatherrouter/io/store"
)

const (
	// staleSlack is how much older than feedWait and the wait for the coordinator's answer, the age that a copy reaches
	// when all is well, it has to be for a daemon to ask the store itself. Operators' changes have to be in force 2 s after
	// the store took them: in a site of 80 daemons a copy is asked for anew at 1.7 s.
	staleSlack = 100 * time.Millisecond

	// feedWait is how long the store holds a feed back without news. While it does, nothing tells that the feed has not
	// been cut silently, so the copy ages; each second of it costs a call a table.
	feedWait = 800 * time.Millisecond

	// controlWait is the same for the control table, which changes next to never but by its reader's own hand.
	controlWait = 5 * time.Second

	// unheardGap is between two calls of a daemon that the coordinator doesn't answer. Such calls are answered at the next
	// change, and when the whole site starts again there is one for each daemon.
	unheardGap = 100 * time.Millisecond

	// Pauses after a failed call, doubled each time: calls are paid for, refused ones too.
	minPause = 50 * time.Millisecond
	maxPause = 800 * time.Millisecond
)

// ask follows one table in the store for as long as this daemon leads, or its copy is stale.
func (f *Feed) ask(c context.Context, t store.Table) error {
	pause := minPause
	for c.Err() == nil {
		if wait := f.askIn(t); wait > 0 {
			f.pause(c, wait)
			continue
		}
		if err := f.askOnce(c, t); err == nil {
			pause = minPause
			continue
		} else if c.Err() == nil {
			f.o.Log.Warn().Err(err).Str("table", t.String()).Msg("store not read")
		}
		clock.Sleep(c, pause/2+rand.N(pause))
		pause = min(2*pause, maxPause)
	}
	return nil
}

// askIn returns how long the store needn't be asked.
func (f *Feed) askIn(t store.Table) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads() || !f.read[t] {
		return 0
	}
	now := f.o.Clock.Now()
	wait := f.staleAfter() - now.Sub(f.asOf[t])
	if f.unheard && t == store.Control {
		// The coordinator has started again under another key, or is gone: who follows it stands in the store before anybody
		// else tells. Found out once the copy is stale, a second later, all keys would be refused here meanwhile.
		wait = min(wait, unheardGap-now.Sub(f.asked))
	}
	return wait
}

// askOnce reads the table whole the first time and after the store has forgotten its history, else what changed.
func (f *Feed) askOnce(c context.Context, t store.Table) error {
	f.mu.Lock()
	read, rev := f.read[t], f.tables[t].rev
	if t == store.Control {
		f.asked = f.o.Clock.Now()
	}
	f.mu.Unlock()
	asked, boot := f.o.Clock.Now(), f.o.Clock.Boot()
	if !read {
		return f.list(c, t, asked)
	}
	wait := feedWait
	if t == store.Control {
		wait = controlWait
	}
	if !f.fresh(t) {
		wait = 0 // the answer tells at once whether the copy is the newest
	}
	p, err := f.o.Store.Follow(c, t, rev, wait)
	if errors.Is(err, store.ErrHistoryGone) {
		f.o.Log.Warn().Str("table", t.String()).Uint64("rev", uint64(rev)).Msg("history forgotten by the store, table read whole")
		return f.list(c, t, asked)
	}
	if err != nil {
		return err
	}
	// While a feed is held back its copy is the newest; an answer without news says so for the time it was made.
	f.applied(t, p, false, f.o.Clock.Now())
	if t == store.Control {
		f.Confirm(boot)
	}
	return nil
}

// staleAfter returns the age of the copy from which a daemon asks the store itself; the caller holds the lock.
func (f *Feed) staleAfter() time.Duration {
	return feedWait + turn.SyncWait(len(f.snapshot.Daemons)) + staleSlack
}

// fresh reports whether the copy was the newest a moment ago.
func (f *Feed) fresh(t store.Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.Clock.Now().Sub(f.asOf[t]) < f.staleAfter()+feedWait
}

func (f *Feed) list(c context.Context, t store.Table, asked mono.Time) error {
	p, err := f.o.Store.List(c, t)
	if err != nil {
		return err
	}
	f.applied(t, p, true, asked)
	return nil
}
