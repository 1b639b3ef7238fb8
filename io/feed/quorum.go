package feed

import (
	"maps"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Supported reports whether a quorum of the voters supports this daemon as the coordinator.
func (f *Feed) Supported() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.supported()
}

func (f *Feed) supported() bool {
	self := f.o.Self
	if f.promise.HasWithdrawn(f.snapshot.Coordinator.Term) {
		self = "" // before it knew that the term is its own
	}
	return f.support.HasQuorum(f.o.Clock.SinceBoot(), self, voters(f.snapshot), f.proposedVoters)
}

// QuorumInContact reports whether a quorum of the voters has sent requests to this coordinator within the duration, whether or not
// they support it.
func (f *Feed) QuorumInContact(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, l, n := f.o.Clock.Now(), voters(f.snapshot), 0
	for _, v := range l {
		if at, ok := f.syncedAt[v]; v == f.o.Self || ok && now.Sub(at) < d {
			n++
		}
	}
	return elect.IsQuorum(n, len(l))
}

// HoldsTerm reports whether this daemon is the coordinator of the term and has the quorum that it needs. A term without quorum
// needs one as soon as a row that ends this is proposed, because a successor may already rely on that row.
func (f *Feed) HoldsTerm(t site.Term) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.snapshot.Coordinator
	return c.Term == t && f.leads() && (c.WithoutQuorum && f.proposedVoters == nil || f.supported())
}

// voters returns the daemons whose majority a coordinator needs: all daemons if the coordinator's row names none.
func voters(s *site.Snapshot) []ident.Daemon {
	if len(s.Voters) > 0 {
		return s.Voters
	}
	return slices.Collect(maps.Keys(s.Daemons))
}

// ProposeVoters records that a transaction that replaces the voters is being sent; nil records that it certainly failed.
// Until a newer revision of the coordinator's row is known, the coordinator needs a quorum of both sets of voters.
func (f *Feed) ProposeVoters(voters []ident.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposedVoters = voters
}

// ProposedVoters returns the proposed voters that the coordinator's row may already name; nil for none.
func (f *Feed) ProposedVoters() []ident.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proposedVoters
}
