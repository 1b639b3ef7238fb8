// Package elect decides when a daemon takes over as the coordinator of its site.
//
// The store lets only one of several that try at once succeed, and an order of a coordinator that doesn't know yet that
// it was followed bears a lower fence than its successor's. So taking over too early costs calls and a round of orders,
// and too late costs the time for which no key can move.
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
	// startupGrace is how long a daemon of a site that starts for the first time waits for the rows of the others, which start
	// within 0.3 s: the ablest is to be the coordinator.
	startupGrace = 600 * time.Millisecond

	// NoQuorumTimeout is how long the coordinator must have been silent for a daemon to take over without a quorum. It is longer than cuts between failure domains usually last: taken over from the smaller side, the
	// coordinator of the larger one would be pushed out. A coordinator that lost the support of most goes without orders as
	// long: nobody else can have that support either before the others are back.
	NoQuorumTimeout = 8 * time.Second

	// rankStep is the time between one candidate and the next: one that has taken over is heard of within it.
	rankStep = 250 * time.Millisecond

	// maxCopyAge is how old a candidate's copy of the store may be: one that doesn't reach the store can't take over.
	maxCopyAge = time.Second
)

// State is what a daemon knows of its site.
type State struct {
	Self         ident.Daemon
	Incarnation  ident.Incarnation
	Leaving      bool
	Snapshot     *site.Snapshot
	CopyAge      time.Duration // age of its copy of the store
	SinceContact time.Duration // since the coordinator was heard of
	SinceLoaded  time.Duration // since the copy was first whole
}

// IsCoordinator reports whether this life of the daemon is the coordinator.
func (s *State) IsCoordinator() bool {
	c := s.Snapshot.Coordinator
	return c.Daemon == s.Self && c.Incarnation == s.Incarnation
}

// Decision is what to do about the coordinator's turn: Wait, Ask or Take.
type Decision interface {
	decision()
}

type (
	// Wait says that it is not this daemon's turn.
	Wait struct{}

	// RequestWithdrawals says to ask the voters to withdraw their support of the coordinator, and to take over once a quorum has. Until
	// then others hear of it, and it would only be pushed out by a daemon that is cut off from it. Clean says that the
	// coordinator has surely stopped then; one that goes on without support hasn't.
	RequestWithdrawals struct{ Clean bool }

	// TakeOver says to take over now. With Clean the coordinator before has surely stopped. WithoutQuorum says that too many
	// voters are lost to tell: then this one's orders rest on the store's transaction only.
	TakeOver struct {
		Clean, WithoutQuorum bool
	}
)

func (Wait) decision()               {}
func (RequestWithdrawals) decision() {}
func (TakeOver) decision()           {}

// Decide returns what to do now.
func (s *State) Decide() Decision {
	if s.IsCoordinator() || s.Leaving || s.CopyAge > maxCopyAge {
		return Wait{}
	}
	c := s.Snapshot.Coordinator
	if c.Daemon == s.Self {
		return TakeOver{Clean: true} // that was an earlier life of this daemon
	}
	wait := rankDelay(s.rank())
	if c.Daemon == "" && c.Term == 0 {
		return takeOverIf(s.SinceLoaded >= startupGrace+wait, TakeOver{Clean: true})
	}
	if c.Daemon == "" {
		return takeOverIf(s.SinceLoaded >= wait && s.SinceContact >= wait, TakeOver{Clean: true}) // the last one has stopped by itself
	}
	if d := s.Snapshot.Daemons[c.Daemon]; d != nil && d.Incarnation != c.Incarnation {
		return takeOverIf(s.SinceLoaded >= wait && s.SinceContact >= wait, TakeOver{Clean: true}) // it has started again, and would take over itself
	}
	silent := min(s.SinceContact, s.SinceLoaded)
	switch {
	case silent >= NoQuorumTimeout+wait:
		return TakeOver{WithoutQuorum: true}
	case s.isVoter(s.Self) && silent >= contactTimeout(s.Snapshot)+wait:
		return RequestWithdrawals{Clean: !c.WithoutQuorum}
	}
	return Wait{}
}

func takeOverIf(ok bool, t TakeOver) Decision {
	if ok {
		return t
	}
	return Wait{}
}

// TopCandidate returns the daemon that comes first as a candidate, or none in a site without daemons.
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

// rank returns how many other daemons come first as candidates: the voters, then the abler ones, and of those alike the
// ones with a higher score. The coordinator serves all daemons and sends all orders, which a host with a sixth of a core
// can't in a site of eighty.
func (s *State) rank() int {
	self, n := s.candidate(s.Self), 0
	for d := range s.Snapshot.Daemons {
		if d != s.Self && d != s.Snapshot.Coordinator.Daemon && s.candidate(d).compare(self) > 0 {
			n++
		}
	}
	return n
}

// isVoter reports whether the daemon is one of the voters; where none are known, all are.
func (s *State) isVoter(d ident.Daemon) bool {
	return len(s.Snapshot.Voters) == 0 || slices.Contains(s.Snapshot.Voters, d)
}

// candidate is what ranks a daemon among those that may take over.
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

// rankDelay returns how long a candidate leaves the turn to those before it. Beyond maxRank the steps are short: a failure
// domain that is lost takes many candidates with it, and yet hundreds of daemons may not write at the same moment.
func rankDelay(rank int) time.Duration {
	return rankStep*time.Duration(min(rank, maxFullSteps)) + farRankStep*time.Duration(max(0, rank-maxFullSteps))
}

const (
	maxFullSteps = 12
	farRankStep  = 20 * time.Millisecond
)
