// Package source decides from where a daemon updates its copy of the store: the coordinator, a voter acting as relay, or the
// store itself. All peers may fail at once, so a daemon with a stale copy never depends on its peers alone.
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
	// MaxPollWait is the longest time for which the store holds a long poll without changes. A silently lost connection
	// can't be detected meanwhile, so the copy ages. The polls cost the store about one call a second for each table.
	MaxPollWait = 800 * time.Millisecond

	// ResponseTimeout is how long an answer may take beyond the poll's wait before another source is asked.
	ResponseTimeout = 300 * time.Millisecond

	// OutdatedAge is the age of a copy from which its daemon is assumed not to reach the store. The copy of a coordinator
	// that reaches it is at most as old as MaxPollWait plus the answer time of a slow store.
	OutdatedAge = MaxPollWait + 600*time.Millisecond

	// staleMargin is added to the age that a copy reaches in normal operation, MaxPollWait plus the wait for the
	// coordinator's answer, to get the age from which a daemon polls the store itself.
	staleMargin = 100 * time.Millisecond

	// voterPollGap is the least time between two polls of the control table by a voter whose coordinator is unresponsive.
	// Such polls are answered at the next change, and after a restart of the whole site there is one for each daemon.
	voterPollGap = 100 * time.Millisecond

	// isolatedPollGap is the least time between two polls of the control table by a daemon that no voter answers either.
	// After a restart of the whole site all daemons are in this state at once.
	isolatedPollGap = 500 * time.Millisecond

	// answerTTL is how long a daemon relies on the last answer of a voter.
	answerTTL = 1500 * time.Millisecond

	// outageVoters is how many voters must report an outdated copy for a daemon to assume a store outage. During an outage
	// a daemon polls the store at outageAgeFactor times the usual age, as polls of hundreds of daemons don't end the outage.
	outageVoters    = 3
	outageAgeFactor = 6

	// retryPause is the time between the starts of two calls that fail at once. It doubles up to maxDoublings times.
	retryPause   = 50 * time.Millisecond
	maxDoublings = 4

	// anyDaemonEvery is the number of failed calls in a row of which one goes to any daemon instead of a voter.
	anyDaemonEvery = 4
)

// Call is a long poll of a peer for changes.
type Call struct {
	Peer     ident.Daemon
	Wait     time.Duration // how long the peer may hold an answer without changes
	Deadline mono.Time     // when the caller gives up
}

// Tracker records which sources have given one daemon a useful copy. Its methods take the daemon's current snapshot.
type Tracker struct {
	self ident.Daemon
	intN func(n int) int // a random number below n

	unresponsive bool         // the coordinator did not answer the last call
	outdated     bool         // the coordinator's copy was outdated in its last answer
	relay        ident.Daemon // the voter that gave a useful copy in place of the coordinator; empty for none
	failures     int          // consecutive calls without a useful copy
	probeAt      mono.Time    // when a coordinator that gave no useful copy is called next
	probes       int          // calls to probe the coordinator since its last useful copy
	lastAnswer   mono.Time    // when the coordinator or a voter last answered; 0 for never

	rejected   map[ident.Daemon]bool      // peers without a useful copy since the last one from the coordinator or a voter
	outdatedAt map[ident.Daemon]mono.Time // when the coordinator or a voter last answered with an outdated copy
}

// New returns a tracker without any answers recorded. The function intN returns a random number below n.
func New(self ident.Daemon, intN func(n int) int) *Tracker {
	return &Tracker{self: self, intN: intN, rejected: map[ident.Daemon]bool{}, outdatedAt: map[ident.Daemon]mono.Time{}}
}

// CoordinatorUnresponsive reports whether the coordinator did not answer the last call.
func (t *Tracker) CoordinatorUnresponsive() bool { return t.unresponsive }

// CoordinatorOutdated reports whether the coordinator last answered with an outdated copy, as when it can't reach the store.
func (t *Tracker) CoordinatorOutdated() bool { return t.outdated }

// Relay returns the voter that the daemon polls in place of the coordinator, or "" for none.
func (t *Tracker) Relay() ident.Daemon { return t.relay }

// Next returns the next call to a peer, and false if there is no peer to call.
func (t *Tracker) Next(now mono.Time, s *site.Snapshot) (Call, bool) {
	wait := elect.SyncWait(s, t.self)
	c := s.Coordinator.Daemon
	if c == "" {
		c = elect.TopCandidate(s) // the first candidate polls the store and becomes the coordinator
	}
	if c != "" && c != t.self && s.Daemons[c] != nil {
		if t.usable(s, c) {
			t.probeAt = now.Add(wait)
			return newCall(now, c, wait), true
		}
		if !now.Before(t.probeAt) {
			return t.probe(now, s, c), true
		}
	}
	if t.relay != "" && s.Daemons[t.relay] != nil {
		// The call to a relay ends before the next probe of the coordinator. No probe is due if there is no coordinator.
		if left := t.probeAt.Sub(now); left > 0 {
			wait = min(wait, left)
		}
		return newCall(now, t.relay, wait), true
	}
	d, ok := t.pickPeer(s)
	return newCall(now, d, 0), ok
}

// probe returns a call that checks whether a rejected coordinator is useful again. The timeout doubles with each probe, up to
// that of a regular call: probes of a failed coordinator cost little until another takes over, and a slow one can still
// answer. Voters use the full timeout at once, because without their calls another coordinator would take over.
func (t *Tracker) probe(now mono.Time, s *site.Snapshot, c ident.Daemon) Call {
	wait := elect.SyncWait(s, t.self)
	limit := wait + ResponseTimeout
	if !isVoter(s, t.self) {
		limit = min(limit, ResponseTimeout<<min(t.probes, maxDoublings))
	}
	t.probes++
	t.probeAt = now.Add(wait)
	return Call{Peer: c, Deadline: now.Add(limit)}
}

// usable reports whether the coordinator, or the candidate in its place, is polled for changes.
func (t *Tracker) usable(s *site.Snapshot, c ident.Daemon) bool {
	if c != s.Coordinator.Daemon {
		return !t.rejected[c]
	}
	return !t.unresponsive && !t.outdated
}

func newCall(now mono.Time, d ident.Daemon, wait time.Duration) Call {
	return Call{Peer: d, Wait: wait, Deadline: now.Add(wait + ResponseTimeout)}
}

// pickPeer selects a random voter that is not rejected, or periodically any daemon, as voters may all be unreachable.
func (t *Tracker) pickPeer(s *site.Snapshot) (ident.Daemon, bool) {
	if t.failures%anyDaemonEvery != anyDaemonEvery-1 {
		l := t.peers(s, s.Voters)
		fresh := slices.DeleteFunc(slices.Clone(l), func(d ident.Daemon) bool { return t.rejected[d] })
		if len(fresh) == 0 {
			clear(t.rejected)
			fresh = l
		}
		if len(fresh) > 0 {
			return t.pickByCapacity(s, fresh), true
		}
	}
	l := t.peers(s, slices.Sorted(maps.Keys(s.Daemons)))
	if len(l) == 0 {
		return "", false
	}
	return l[t.intN(len(l))], true
}

// pickByCapacity selects a random daemon, weighted by capacity. All daemons connect to voters at once when the coordinator
// fails, and small voters would then need longer for a handshake than the timeout of a call.
func (t *Tracker) pickByCapacity(s *site.Snapshot, l []ident.Daemon) ident.Daemon {
	capacity := func(d ident.Daemon) int { return max(1, s.Daemons[d].Capacity) }
	sum := 0
	for _, d := range l {
		sum += capacity(d)
	}
	n := t.intN(sum)
	for _, d := range l {
		if n -= capacity(d); n < 0 {
			return d
		}
	}
	return l[len(l)-1]
}

// peers returns the daemons of the list that are in the snapshot, without this one and the coordinator.
func (t *Tracker) peers(s *site.Snapshot, l []ident.Daemon) []ident.Daemon {
	return slices.DeleteFunc(slices.Clone(l), func(d ident.Daemon) bool {
		return d == t.self || d == s.Coordinator.Daemon || s.Daemons[d] == nil
	})
}

// Pause returns the time from the start of a failed call to the start of the next one.
func (t *Tracker) Pause(s *site.Snapshot) time.Duration {
	return min(retryPause<<min(max(0, t.failures-1), maxDoublings), elect.SyncWait(s, t.self)/2)
}

// NoPeers records that there is no peer to call. It resets the count of failures.
func (t *Tracker) NoPeers() { t.failures = 0 }

// Answered records that a peer answered, at the given time, with a copy of the given age. It reports whether the copy is useful, that is, not
// outdated.
func (t *Tracker) Answered(at mono.Time, s *site.Snapshot, d ident.Daemon, age time.Duration) bool {
	useful := age < OutdatedAge
	leads, votes := d == s.Coordinator.Daemon, isVoter(s, d)
	if leads || votes {
		t.lastAnswer = max(t.lastAnswer, at)
		delete(t.outdatedAt, d)
		if !useful {
			t.outdatedAt[d] = at
		}
	}
	if leads {
		t.unresponsive, t.outdated = false, !useful
	}
	if !useful {
		t.reject(d)
		return false
	}
	t.failures = 0
	switch {
	case leads:
		t.relay, t.probes = "", 0
		clear(t.rejected)
	case votes:
		t.relay = d // daemons that are not voters don't keep their copies fresh
		clear(t.rejected)
	}
	return true
}

// Failed records that a call got no answer.
func (t *Tracker) Failed(now mono.Time, s *site.Snapshot, x Call) {
	if x.Peer == s.Coordinator.Daemon {
		t.unresponsive = true
		if now.Before(x.Deadline) {
			t.probeAt = min(t.probeAt, now.Add(elect.SyncWait(s, t.self)/2)) // a call that fails before its deadline costs little time
		} else {
			t.probeAt = max(t.probeAt, now.Add(ResponseTimeout)) // leaves time for calls to other peers
		}
	}
	t.reject(x.Peer)
}

// Unusable records that the answer of a peer could not be applied.
func (t *Tracker) Unusable(d ident.Daemon) { t.reject(d) }

func (t *Tracker) reject(d ident.Daemon) {
	t.failures++
	t.rejected[d] = true
	if t.relay == d {
		t.relay = ""
	}
}

// CoordinatorChanged records that there is another coordinator, or none. A new one is called at once.
func (t *Tracker) CoordinatorChanged() {
	t.relay, t.outdated, t.probes, t.probeAt = "", false, 0, 0
}

// StaleAge returns the age of a copy from which the daemon polls the store itself.
func StaleAge(s *site.Snapshot, d ident.Daemon) time.Duration {
	return MaxPollWait + elect.SyncWait(s, d) + staleMargin
}

// UnreadAge returns the age that a daemon's copy doesn't reach while the store is read, by the daemon or by the peers that it copies from.
func UnreadAge(s *site.Snapshot, d ident.Daemon) time.Duration {
	return max(StaleAge(s, d), OutdatedAge)
}

// Copy describes the age of a daemon's copy of a table.
type Copy struct {
	AsOf        mono.Time // the last time at which the copy was known to be current
	RequestedAt mono.Time // when the daemon last polled the store for it
	Control     bool      // whether it is the control table, which names the coordinator
}

// StorePollAt returns when to poll the store for the table. Callers call it again after each change and at the returned time,
// because the result may be later by then.
func (t *Tracker) StorePollAt(now mono.Time, s *site.Snapshot, c Copy) mono.Time {
	stale := StaleAge(s, t.self)
	if isVoter(s, t.self) {
		if hasNonVoters(s) && (t.unresponsive || t.outdated) {
			return now // the other daemons use voters as relays meanwhile
		}
		return t.earlierForControl(c, c.AsOf.Add(stale), c.RequestedAt.Add(voterPollGap))
	}
	// A daemon learns from its peers that they can't reach the store before its own copy is that old.
	at := c.AsOf.Add(max(stale, OutdatedAge+ResponseTimeout))
	if out, until := t.outage(now, s); out {
		return min(max(c.AsOf, c.RequestedAt).Add(outageAgeFactor*stale), until)
	}
	return t.earlierForControl(c, at, max(c.RequestedAt.Add(isolatedPollGap), t.lastAnswer.Add(answerTTL)))
}

// earlierForControl returns the earlier time for the control table while the coordinator is unresponsive. The coordinator has
// failed or has restarted with another key, and the store names its successor before any peer does. Waiting until the copy is
// stale would take a second longer, during which this daemon refuses all keys.
func (t *Tracker) earlierForControl(c Copy, at, sooner mono.Time) mono.Time {
	if t.unresponsive && c.Control {
		return min(at, sooner)
	}
	return at
}

// PollWait returns how long the store may hold an answer without changes, given the age of the copy. The poll ends before
// peers would reject the copy as outdated although the store is reachable.
func PollWait(age time.Duration) time.Duration {
	return min(MaxPollWait, max(0, OutdatedAge-ResponseTimeout-age))
}

// outage reports whether enough voters have outdated copies to assume a store outage, and until when their answers are valid.
func (t *Tracker) outage(now mono.Time, s *site.Snapshot) (bool, mono.Time) {
	var l []mono.Time
	for d, at := range t.outdatedAt {
		if until := at.Add(answerTTL); now.Before(until) {
			l = append(l, until)
		} else {
			delete(t.outdatedAt, d)
		}
	}
	enough := max(1, min(outageVoters, len(t.peers(s, s.Voters))))
	if len(l) < enough {
		return false, 0
	}
	slices.Sort(l)
	return true, l[len(l)-enough]
}

// isVoter reports whether the daemon is a voter. All daemons are voters if the coordinator's row names none.
func isVoter(s *site.Snapshot, d ident.Daemon) bool {
	return len(s.Voters) == 0 || slices.Contains(s.Voters, d)
}

// hasNonVoters reports whether some daemons are not voters.
func hasNonVoters(s *site.Snapshot) bool {
	return len(s.Voters) > 0 && len(s.Voters) < len(s.Daemons)
}
