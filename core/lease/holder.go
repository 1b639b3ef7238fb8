package lease

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Holder is a home's side of the lease of one server under one epoch.
type Holder struct {
	terms   Terms
	server  ident.Server
	epoch   ident.Epoch
	life    ident.Incarnation
	set     Set
	until   mono.Time
	votes   map[ident.Daemon]vote
	floor   ident.Rev
	highest ident.Epoch
	stopped bool
}

// vote is what one witness has answered.
type vote struct {
	until mono.Time // of the lease it gave
	clear bool      // it is retired and leaves the lease to the next set
	rev   ident.Rev // what it tells every later holder as the floor
}

// NewHolder returns a holder that has no lease yet.
func NewHolder(t Terms, s ident.Server, e ident.Epoch, life ident.Incarnation) *Holder {
	return &Holder{terms: t, server: s, epoch: e, life: life, votes: map[ident.Daemon]vote{}}
}

// Server returns the server that the lease is for.
func (h *Holder) Server() ident.Server { return h.server }

// Epoch returns the epoch that the holder asks under.
func (h *Holder) Epoch() ident.Epoch { return h.epoch }

// SetWitnesses takes the witnesses from the holder's copy of the document; an older row changes nothing.
// A lease that was given by the witnesses before runs on until it lapses.
func (h *Holder) SetWitnesses(x Set) {
	if x.Rev < h.set.Rev {
		return
	}
	if x.Rev > h.set.Rev {
		// A retired witness's word holds for the change that retired it: under another one it may give again.
		for d, v := range h.votes {
			v.clear = false
			h.votes[d] = v
		}
	}
	h.set = x
}

// Witnesses returns the daemons to ask: those of the current set and of the next, each once.
func (h *Holder) Witnesses() []ident.Daemon {
	l := slices.Concat(h.set.Current, h.set.Next)
	slices.Sort(l)
	return slices.Compact(l)
}

// Ask returns what to ask every witness. The rev is that of the copy of the partition's document from which
// SetWitnesses got its row.
//
// With a newer one the witnesses would believe that the holder has heard of a change of theirs, and would give a lease
// that it then counts by the old set.
func (h *Holder) Ask(m Mode, rev ident.Rev) Ask {
	return Ask{Server: h.server, Epoch: h.epoch, Mode: m, Incarnation: h.life, Rev: rev}
}

// Answered takes a witness's answer to the ask that was sent at the time.
//
// The lease counts from then: the answer may have been on its way for long, and counted from its arrival the lease
// would outlast what the witness waits for.
func (h *Holder) Answered(sentAt mono.Time, from ident.Daemon, g Give) {
	if g.Server != h.server || g.Epoch != h.epoch || h.stopped {
		return
	}
	h.highest = max(h.highest, g.Highest)
	clear := g.Clear && g.Set.Rev == h.set.Rev
	if !g.Given && !clear {
		return
	}
	v := h.votes[from]
	if g.Given {
		v.until = max(v.until, sentAt.Add(h.terms.Lease))
	}
	v.clear = v.clear || clear
	v.rev = max(v.rev, g.Rev)
	h.votes[from] = v
	h.floor = max(h.floor, g.Rev)
	h.until = max(h.until, h.lease())
}

// lease returns until when the votes give the lease.
//
// With a change of witnesses under way it takes a majority of both sets: a home that hasn't heard of the change goes
// by the old set, one that has heard that it settled by the new one, and either must meet this one at some witness.
func (h *Holder) lease() mono.Time {
	changing := len(h.set.Next) > 0
	t := majority(h.set.Current, func(d ident.Daemon) mono.Time {
		if v := h.votes[d]; !changing || !v.clear {
			return v.until
		}
		return mono.Never
	})
	if changing {
		t = min(t, majority(h.set.Next, func(d ident.Daemon) mono.Time { return h.votes[d].until }))
	}
	return t
}

// majority returns the highest value that a majority of the witnesses reaches, or 0 with no witnesses.
func majority[T cmp.Ordered](l []ident.Daemon, value func(ident.Daemon) T) T {
	if len(l) == 0 {
		var zero T
		return zero
	}
	x := make([]T, len(l))
	for i, d := range l {
		x[i] = value(d)
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// Until returns the time before which the holder may send.
func (h *Holder) Until() mono.Time { return h.until }

// Skew returns how far the backend server's wall clock may be behind the holder's.
func (h *Holder) Skew() time.Duration { return h.terms.Skew }

// Drift returns how far each clock may run fast or slow, as a share of 1.
func (h *Holder) Drift() float64 { return h.terms.Drift }

// Holds reports whether the holder may send now. Check it right before every send.
func (h *Holder) Holds(now mono.Time) bool { return !h.stopped && now.Before(h.until) }

// Stop ends sending for good. Ask the witnesses with mode Stopped once nothing that was sent is in flight.
func (h *Holder) Stop(now mono.Time) {
	h.stopped, h.until = true, min(h.until, now)
}

// Refused takes a backend server's word that it has seen the epoch: one that checks grants refuses older ones. The
// witnesses may have forgotten it, so the home must be assigned anew to be of use.
func (h *Holder) Refused(seen ident.Epoch) { h.highest = max(h.highest, seen) }

// Superseded returns the highest newer epoch that a witness or the server refused this one for.
func (h *Holder) Superseded() (ident.Epoch, bool) { return h.highest, h.highest > h.epoch }

// Given reports whether any witness has given the lease under this epoch, be it too few of them.
func (h *Holder) Given() bool {
	for _, v := range h.votes {
		if v.until > 0 {
			return true
		}
	}
	return false
}

// Lost reports whether the holder should stop asking: it holds nothing and a newer epoch has been given.
func (h *Holder) Lost(now mono.Time) bool {
	_, ok := h.Superseded()
	return h.stopped || ok && !h.Holds(now)
}

// Floor returns the lowest revision of the document at which the holder may act on its copy.
func (h *Holder) Floor() ident.Rev { return h.floor }

// Recorded returns the highest revision that every later holder will be told as its floor.
func (h *Holder) Recorded() ident.Rev {
	rev := func(d ident.Daemon) ident.Rev { return h.votes[d].rev }
	r := majority(h.set.Current, rev)
	if len(h.set.Next) > 0 {
		r = min(r, majority(h.set.Next, rev))
	}
	return r
}
