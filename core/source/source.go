// Package source decides where a daemon's copy of the store comes from: the coordinator, a voter in its place, or the store
// itself. All of them may be lost at once, so a daemon whose copy has grown old never waits for its peers alone.
package source

import (
	"maps"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

const (
	// FeedWait is how long the store holds a feed back without news. While it does, nothing tells that the feed has not
	// been cut silently, so the copy ages; each second of it costs a call a table.
	FeedWait = 800 * time.Millisecond

	// AnswerTime is how long an answer may take beyond the wait before another source is asked.
	AnswerTime = 300 * time.Millisecond

	// OldCopy is the age of a copy from which its daemon doesn't seem to reach the store. The copy of a coordinator that
	// does is as old as FeedWait and a slow store's answer.
	OldCopy = FeedWait + 600*time.Millisecond

	// staleSlack is how much older than FeedWait and the wait for the coordinator's answer, the age that a copy reaches
	// when all is well, it has to be for a daemon to ask the store itself.
	staleSlack = 100 * time.Millisecond

	// silentGap is between two calls for the control table of a voter that the coordinator doesn't answer. Such calls are
	// answered at the next change, and when the whole site starts again there is one for each daemon.
	silentGap = 100 * time.Millisecond

	// unreachedGap is the same for a daemon that no voter answers either. All of them are in this state together after a
	// restart of the whole site.
	unreachedGap = 500 * time.Millisecond

	// heardWithin is how long ago a voter's last answer may be for a daemon to rely on it.
	heardWithin = 1500 * time.Millisecond

	// outageVoters is how many voters must lack the store for a daemon to take it for out, and outageWait is how many
	// times older than usual its copy gets then before it asks by itself: hundreds of daemons make it no better.
	outageVoters = 3
	outageWait   = 6

	// failedPause is between the starts of two calls that fail at once, doubled up to maxDoubled times.
	failedPause = 50 * time.Millisecond
	maxDoubled  = 4

	// othersEvery is which failed call in a row is followed by one to a daemon that is no voter.
	othersEvery = 4
)

// Call is a call to a peer for what is new.
type Call struct {
	Peer  ident.Daemon
	Wait  time.Duration // for which the peer holds an answer without news back
	Until mono.Time     // when it is given up
}

// Tracker is what one daemon has learned of its sources. Its methods take the daemon's present snapshot.
type Tracker struct {
	self ident.Daemon
	draw func(n int) int // a random number below n

	silent  bool         // the coordinator didn't answer the last call
	behind  bool         // the coordinator's copy was old when it last answered
	relay   ident.Daemon // the voter whose copy was new when the coordinator gave none
	failed  int          // calls in a row
	probeAt mono.Time    // when a coordinator that is of no use is asked again
	probes  int          // of the coordinator since it was of use
	heard   mono.Time    // when the coordinator or a voter last answered

	useless map[ident.Daemon]bool      // voters that gave nothing since one was of use
	lacking map[ident.Daemon]mono.Time // voters with an old copy, and when they last said so
}

// New returns a tracker that knows nothing yet.
func New(self ident.Daemon, draw func(n int) int) *Tracker {
	return &Tracker{self: self, draw: draw, useless: map[ident.Daemon]bool{}, lacking: map[ident.Daemon]mono.Time{}}
}

// Silent reports whether the coordinator didn't answer the last call.
func (t *Tracker) Silent() bool { return t.silent }

// Behind reports whether the coordinator's copy was old when it last answered: the store doesn't answer it.
func (t *Tracker) Behind() bool { return t.behind }

// Relay returns the voter that the copy comes from in place of the coordinator; empty for none.
func (t *Tracker) Relay() ident.Daemon { return t.relay }

// Next returns the next call to a peer; false when there is none to ask.
func (t *Tracker) Next(now mono.Time, s *site.Snapshot) (Call, bool) {
	wait := elect.SyncWait(s, t.self)
	c := s.Coordinator.Daemon
	if c == "" {
		c = elect.TopCandidate(s) // it reads the store, and becomes the coordinator
	}
	if c != "" && c != t.self && s.Daemons[c] != nil {
		if t.trusts(s, c) {
			t.probeAt = now.Add(wait)
			return call(now, c, wait), true
		}
		if !now.Before(t.probeAt) {
			return t.probe(now, s, c), true
		}
	}
	if t.relay != "" && s.Daemons[t.relay] != nil {
		// A relay's answer isn't awaited beyond the next call to the coordinator; without one there is none to come.
		if left := t.probeAt.Sub(now); left > 0 {
			wait = min(wait, left)
		}
		return call(now, t.relay, wait), true
	}
	d, ok := t.other(s)
	return call(now, d, 0), ok
}

// probe returns a call to a coordinator that was of no use: whether it is again is all that is asked. Each has twice the time
// of the one before, up to that of a regular call: one that is lost costs little until another takes over, one that is only
// slow is heard again. Voters give it all the time at once, as without them another would take over.
func (t *Tracker) probe(now mono.Time, s *site.Snapshot, c ident.Daemon) Call {
	wait := elect.SyncWait(s, t.self)
	limit := wait + AnswerTime
	if !votes(s, t.self) {
		limit = min(limit, AnswerTime<<min(t.probes, maxDoubled))
	}
	t.probes++
	t.probeAt = now.Add(wait)
	return Call{Peer: c, Until: now.Add(limit)}
}

// trusts reports whether the coordinator, or the candidate in its place, may be relied on for news.
func (t *Tracker) trusts(s *site.Snapshot, c ident.Daemon) bool {
	if c != s.Coordinator.Daemon {
		return !t.useless[c]
	}
	return !t.silent && !t.behind
}

func call(now mono.Time, d ident.Daemon, wait time.Duration) Call {
	return Call{Peer: d, Wait: wait, Until: now.Add(wait + AnswerTime)}
}

// other draws a voter that hasn't been of no use yet, or now and then any other daemon: no voter may be reached from here.
func (t *Tracker) other(s *site.Snapshot) (ident.Daemon, bool) {
	if t.failed%othersEvery != othersEvery-1 {
		l := t.peers(s, s.Voters)
		fresh := slices.DeleteFunc(slices.Clone(l), func(d ident.Daemon) bool { return t.useless[d] })
		if len(fresh) == 0 {
			clear(t.useless)
			fresh = l
		}
		if len(fresh) > 0 {
			return t.drawAble(s, fresh), true
		}
	}
	l := t.peers(s, slices.Sorted(maps.Keys(s.Daemons)))
	if len(l) == 0 {
		return "", false
	}
	return l[t.draw(len(l))], true
}

// drawAble draws one of the daemons, by their capacity: when the coordinator is lost all daemons connect to voters at once,
// and the small ones among them take longer for a handshake than a call may.
func (t *Tracker) drawAble(s *site.Snapshot, l []ident.Daemon) ident.Daemon {
	capacity := func(d ident.Daemon) int { return max(1, s.Daemons[d].Capacity) }
	sum := 0
	for _, d := range l {
		sum += capacity(d)
	}
	n := t.draw(sum)
	for _, d := range l {
		if n -= capacity(d); n < 0 {
			return d
		}
	}
	return l[len(l)-1]
}

// peers returns those of the daemons that are known, neither this one nor the coordinator.
func (t *Tracker) peers(s *site.Snapshot, l []ident.Daemon) []ident.Daemon {
	return slices.DeleteFunc(slices.Clone(l), func(d ident.Daemon) bool {
		return d == t.self || d == s.Coordinator.Daemon || s.Daemons[d] == nil
	})
}

// Pause returns how long after the start of a call that failed the next one starts.
func (t *Tracker) Pause(s *site.Snapshot) time.Duration {
	return min(failedPause<<min(max(0, t.failed-1), maxDoubled), elect.SyncWait(s, t.self)/2)
}

// Rested takes in that there is no peer to ask for now.
func (t *Tracker) Rested() { t.failed = 0 }

// Answered takes in that a peer answered with a copy of the age; it reports whether that is of use.
func (t *Tracker) Answered(now mono.Time, s *site.Snapshot, d ident.Daemon, age time.Duration) bool {
	useful := age < OldCopy
	leads, votes := d == s.Coordinator.Daemon, votes(s, d)
	if leads || votes {
		t.heard = now
		delete(t.lacking, d)
		if !useful {
			t.lacking[d] = now
		}
	}
	if leads {
		t.silent, t.behind = false, !useful
	}
	if !useful {
		t.drop(d)
		return false
	}
	t.failed = 0
	switch {
	case leads:
		t.relay, t.probes = "", 0
		clear(t.useless)
	case votes:
		t.relay = d // others don't renew their copies either
		clear(t.useless)
	}
	return true
}

// Failed takes in that a call got no answer.
func (t *Tracker) Failed(now mono.Time, s *site.Snapshot, x Call) {
	if x.Peer == s.Coordinator.Daemon {
		t.silent = true
		if now.Before(x.Until) {
			t.probeAt = min(t.probeAt, now.Add(elect.SyncWait(s, t.self)/2)) // it failed at once, and cost no time
		} else {
			t.probeAt = max(t.probeAt, now.Add(AnswerTime)) // others are asked in between
		}
	}
	t.drop(x.Peer)
}

// Unusable takes in that what a peer answered couldn't be used.
func (t *Tracker) Unusable(d ident.Daemon) { t.drop(d) }

func (t *Tracker) drop(d ident.Daemon) {
	t.failed++
	t.useless[d] = true
	if t.relay == d {
		t.relay = ""
	}
}

// NewCoordinator takes in that there is another coordinator, or none: it is asked at once.
func (t *Tracker) NewCoordinator() {
	t.relay, t.behind, t.probes, t.probeAt = "", false, 0, 0
}

// Stale returns the age of a copy from which the daemon asks the store itself.
func Stale(s *site.Snapshot, d ident.Daemon) time.Duration {
	return FeedWait + elect.SyncWait(s, d) + staleSlack
}

// Copy is how new the copy of a table is.
type Copy struct {
	AsOf    mono.Time // when it was the newest for certain
	Asked   mono.Time // when the store was last asked for it
	Control bool      // it is the control table, which tells of coordinators
}

// StoreAt returns when to ask the store for the table. It has to be asked for again at each change, and at the time itself,
// by when the answer may be a later one.
func (t *Tracker) StoreAt(now mono.Time, s *site.Snapshot, c Copy) mono.Time {
	stale := Stale(s, t.self)
	if votes(s, t.self) {
		if few(s) && (t.silent || t.behind) {
			return now // the others take their copies from the voters now
		}
		return t.sooner(c, c.AsOf.Add(stale), c.Asked.Add(silentGap))
	}
	// A daemon whose peers lack the store is told so before its own copy is that old.
	at := c.AsOf.Add(max(stale, OldCopy+AnswerTime))
	if out, until := t.outage(now, s); out {
		return min(max(c.AsOf, c.Asked).Add(outageWait*stale), until)
	}
	return t.sooner(c, at, max(c.Asked.Add(unreachedGap), t.heard.Add(heardWithin)))
}

// sooner returns an earlier time for the control table while nobody tells of the coordinator. It has started again under
// another key, or is gone: who follows it stands in the store before anybody else tells. Found out once the copy is stale,
// a second later, all keys would be refused here meanwhile.
func (t *Tracker) sooner(c Copy, at, sooner mono.Time) mono.Time {
	if t.silent && c.Control {
		return min(at, sooner)
	}
	return at
}

// Hold returns how long the store may hold an answer without news for a copy of the age back: no longer than until peers
// would take the copy for old, though the store answers.
func Hold(age time.Duration) time.Duration {
	return min(FeedWait, max(0, OldCopy-AnswerTime-age))
}

// outage reports whether the store seems to be out for all, and until when that may be relied on.
func (t *Tracker) outage(now mono.Time, s *site.Snapshot) (bool, mono.Time) {
	var l []mono.Time
	for d, said := range t.lacking {
		if until := said.Add(heardWithin); now.Before(until) {
			l = append(l, until)
		} else {
			delete(t.lacking, d)
		}
	}
	enough := max(1, min(outageVoters, len(t.peers(s, s.Voters))))
	if len(l) < enough {
		return false, 0
	}
	slices.Sort(l)
	return true, l[len(l)-enough]
}

// votes reports whether the daemon is one of the voters, as all are where the coordinator's row names none.
func votes(s *site.Snapshot, d ident.Daemon) bool {
	return len(s.Voters) == 0 || slices.Contains(s.Voters, d)
}

// few reports whether some daemons aren't voters.
func few(s *site.Snapshot) bool {
	return len(s.Voters) > 0 && len(s.Voters) < len(s.Daemons)
}
