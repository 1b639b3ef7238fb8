// Package elect decides when a daemon takes over as the coordinator of its site.
//
// The store lets only one of several concurrent takeovers succeed, and the orders of a replaced coordinator carry a
// lower fence than its successor's. A takeover that is too early costs calls and a round of orders. One that is too
// late costs the time in which no key can move.
package elect

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/site"
)

const (
	// startupGrace is how long a daemon of a new site waits for the rows of the others, which start within 0.3 s. The
	// daemon with the highest capacity should become the coordinator.
	startupGrace = 600 * time.Millisecond

	// NoQuorumTimeout is the time without contact with the coordinator after which a daemon takes over without a quorum.
	// It exceeds the usual length of partitions between failure domains; a shorter time would let the smaller side
	// replace the coordinator of the larger one. A coordinator that loses its quorum sends no orders for the same
	// time, since no other daemon can have that quorum before the lost voters are back.
	NoQuorumTimeout = 8 * time.Second

	// rankStep is the delay between one candidate and the next. The row of a new coordinator reaches the others within
	// this time.
	rankStep = 250 * time.Millisecond

	// unreachableDelay is the additional delay of a candidate that can't reach the servers of a keyed service. Its orders would not
	// arrive, so that it should take over only if no other daemon does.
	unreachableDelay = time.Second

	// maxCopyAge is the greatest age of a candidate's copy of the store. A daemon that cannot reach the store cannot
	// take over.
	maxCopyAge = time.Second
)

// State is what a daemon knows of its site.
type State struct {
	Self         ident.Daemon
	Incarnation  ident.Incarnation
	Leaving      bool
	Snapshot     *site.Snapshot
	CopyAge      time.Duration // age of the daemon's copy of the store
	SinceContact time.Duration // since the last contact with the coordinator
	SinceLoaded  time.Duration // since the copy was first complete

	ServersUnreachable bool // the daemon can't reach the servers of a keyed service
}

// IsCoordinator reports whether this incarnation of the daemon is the coordinator.
func (s *State) IsCoordinator() bool {
	c := s.Snapshot.Coordinator
	return c.Daemon == s.Self && c.Incarnation == s.Incarnation
}

// Decision is Wait, RequestWithdrawals or TakeOver.
type Decision interface {
	decision()
}

type (
	// Wait means that this daemon does not take over now.
	Wait struct{}

	// RequestWithdrawals means to ask the voters to withdraw their support of the coordinator, and to take over once a
	// quorum has. Without a quorum others still have contact with it, and a takeover would only replace a coordinator
	// that this daemon is cut off from. Clean means that the coordinator, and all before it, have then stopped for certain;
	// one that runs without a quorum has not.
	RequestWithdrawals struct{ Clean bool }

	// TakeOver means to take over now. Clean means that all earlier coordinators have stopped for certain: the previous one,
	// and by its row those before it.
	// WithoutQuorum means that too many voters are lost to know; then only the store's transaction protects the orders
	// of the new coordinator.
	TakeOver struct {
		Clean, WithoutQuorum bool
	}
)

func (Wait) decision()               {}
func (RequestWithdrawals) decision() {}
func (TakeOver) decision()           {}

// Decide returns what this daemon should do now.
func (s *State) Decide() Decision {
	if s.IsCoordinator() || s.Leaving || s.CopyAge > maxCopyAge {
		return Wait{}
	}
	c := s.Snapshot.Coordinator
	if c.Daemon == s.Self {
		return TakeOver{Clean: c.Clean} // an earlier incarnation of this daemon
	}
	wait := rankDelay(s.rank())
	if s.ServersUnreachable {
		wait += unreachableDelay
	}
	if c.Daemon == "" && c.Term == 0 {
		return takeOverIf(s.SinceLoaded >= startupGrace+wait, TakeOver{Clean: true})
	}
	if c.Daemon == "" {
		return takeOverIf(s.SinceLoaded >= wait && s.SinceContact >= wait, TakeOver{Clean: c.Clean}) // the previous coordinator has handed over
	}
	if d := s.Snapshot.Daemons[c.Daemon]; d != nil && d.Incarnation != c.Incarnation {
		return takeOverIf(s.SinceLoaded >= wait && s.SinceContact >= wait, TakeOver{Clean: c.Clean}) // it was restarted, and would take over itself
	}
	unresponsive := min(s.SinceContact, s.SinceLoaded)
	switch {
	case unresponsive >= NoQuorumTimeout+wait:
		return TakeOver{WithoutQuorum: true}
	case s.isVoter(s.Self) && unresponsive >= contactTimeout(s.Snapshot)+wait:
		return RequestWithdrawals{Clean: c.Clean && !c.WithoutQuorum}
	}
	return Wait{}
}

func takeOverIf(ok bool, t TakeOver) Decision {
	if ok {
		return t
	}
	return Wait{}
}

// TopCandidate returns the daemon that ranks highest as a candidate, or "" if the site has no daemons.
func TopCandidate(s *site.Snapshot) ident.Daemon {
	x := State{Snapshot: s}
	var first ident.Daemon
	for d := range s.Daemons {
		if first == "" || x.candidate(d).compare(x.candidate(first)) > 0 {
			first = d
		}
	}
	return first
}

// rank returns how many other daemons are preferred as candidates: voters first, then higher capacity, then higher
// score. The coordinator serves all daemons and sends all orders. A host with a sixth of a core cannot do that in a
// site of eighty.
func (s *State) rank() int {
	self, n := s.candidate(s.Self), 0
	for d := range s.Snapshot.Daemons {
		if d != s.Self && d != s.Snapshot.Coordinator.Daemon && s.candidate(d).compare(self) > 0 {
			n++
		}
	}
	return n
}

// isVoter reports whether the daemon is a voter; if no voters are known, all daemons are.
func (s *State) isVoter(d ident.Daemon) bool {
	return len(s.Snapshot.Voters) == 0 || slices.Contains(s.Snapshot.Voters, d)
}

// candidate is the sort key of a daemon among the candidates.
type candidate struct {
	voter    int
	capacity int
	score    uint64
}

const scoreName = "coordinator"

func (s *State) candidate(d ident.Daemon) candidate {
	x := candidate{score: live.Score(scoreName, d)}
	if s.isVoter(d) {
		x.voter = 1
	}
	if y := s.Snapshot.Daemons[d]; y != nil {
		x.capacity = y.Capacity
	}
	return x
}

func (x candidate) compare(y candidate) int {
	return cmp.Or(cmp.Compare(x.voter, y.voter), cmp.Compare(x.capacity, y.capacity), cmp.Compare(x.score, y.score))
}

// rankDelay returns how long a candidate waits for the preferred ones to take over. Steps after maxFullSteps are
// short, since the loss of a failure domain removes many candidates. They are not zero, since hundreds of daemons must
// not write at the same moment.
func rankDelay(rank int) time.Duration {
	return rankStep*time.Duration(min(rank, maxFullSteps)) + farRankStep*time.Duration(max(0, rank-maxFullSteps))
}

const (
	maxFullSteps = 12
	farRankStep  = 20 * time.Millisecond
)
