// Package part defines the assignments of one service: its witnesses, the home of each backend server and the owner of each shard.
//
// A Part is immutable: Apply returns a new one. Readers on the request path therefore load a pointer and
// need no lock.
package part

import (
	"maps"
	"slices"

	"heatherrouter/core/ident"
)

// ChunkSize is the number of consecutive shards in a full row.
const ChunkSize = 64

// State says whether a backend server may receive new requests.
type State uint8

const (
	// Active servers receive requests.
	Active State = iota
	// Draining servers finish their requests and receive no new ones.
	Draining
	// Down servers receive no requests until their home has seen them work again.
	Down
)

// String returns the state in kebab case.
func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Draining:
		return "draining"
	case Down:
		return "down"
	}
	return "unknown"
}

// Witnesses are the daemons that grant the leases of the service's servers, in order of rank.
// The first one that is alive is the coordinator.
type Witnesses struct {
	Current []ident.Daemon
	Next    []ident.Daemon // set during a change, when a lease needs a majority of both sets
	Retired []ident.Daemon // replaced by the last change; they still respond and refer callers to Current
}

// Changing reports whether a change of witnesses is in progress.
func (w Witnesses) Changing() bool {
	return len(w.Next) > 0
}

// Clone returns a copy that shares nothing with w.
func (w Witnesses) Clone() Witnesses {
	return Witnesses{Current: slices.Clone(w.Current), Next: slices.Clone(w.Next), Retired: slices.Clone(w.Retired)}
}

// Equal reports whether w and x name the same daemons in the same order.
func (w Witnesses) Equal(x Witnesses) bool {
	return slices.Equal(w.Current, x.Current) && slices.Equal(w.Next, x.Next) && slices.Equal(w.Retired, x.Retired)
}

// Server is the row of a backend server and says which daemon may send requests to it.
type Server struct {
	ID        ident.Server
	Home      ident.Daemon
	Epoch     ident.Epoch  // belongs to Home alone
	Standby   ident.Daemon // may take over with Epoch+1 after the home's lease has expired; empty when none
	State     State
	Supersede bool // the home must stop renewals of older epochs at the witnesses
}

// Ownership says which backend server owns a shard.
type Ownership struct {
	Server   ident.Server // empty for a shard that has no owner yet
	Epoch    ident.Epoch
	Previous ident.Server // previous owner, which must release the shard first; empty after the release
}

// Part is the assignment of one service at one revision. It must not be modified; Apply returns a new one.
type Part struct {
	Service   ident.Service
	Rev       ident.Rev
	Witnesses Witnesses
	Servers   map[ident.Server]Server
	Shards    []Ownership // indexed by shard number; empty for an unkeyed service
}

// New returns the empty part of a service.
func New(s ident.Service) *Part {
	return &Part{Service: s, Servers: map[ident.Server]Server{}}
}

// Owner returns the ownership of a shard, or the zero value if the shard has no owner.
func (p *Part) Owner(s ident.Shard) Ownership {
	if int(s) >= len(p.Shards) {
		return Ownership{}
	}
	return p.Shards[s]
}

// Server returns the row of a backend server, and false if there is none.
func (p *Part) Server(s ident.Server) (Server, bool) {
	x, ok := p.Servers[s]
	return x, ok
}

// ServerIDs returns the names of all servers that have a row, sorted.
func (p *Part) ServerIDs() []ident.Server {
	return slices.Sorted(maps.Keys(p.Servers))
}

// EpochStep is the most by which one transaction may raise the epoch of a server: past the standby's epoch.
const EpochStep = 2

// FirstEpoch returns the lowest epoch for a server that has no row.
//
// A server may be removed and added again. If it started at 1 again, witnesses that remember its earlier
// epochs would refuse it, and restarted ones would grant an epoch that a former home may still hold.
// No transaction raises an epoch by more than EpochStep, so no earlier row has had an epoch this high.
func (p *Part) FirstEpoch() ident.Epoch {
	return ident.Epoch(p.Rev)*EpochStep + 1
}

// Chunks returns the number of rows of shards.
func (p *Part) Chunks() int {
	return (len(p.Shards) + ChunkSize - 1) / ChunkSize
}

// Chunk returns the ownerships of one row of shards.
func (p *Part) Chunk(n int) []Ownership {
	return p.Shards[n*ChunkSize : min((n+1)*ChunkSize, len(p.Shards))]
}

// Pending is a shard whose release by its previous owner is not yet recorded.
type Pending struct {
	Shard ident.Shard
	Epoch ident.Epoch // of the new ownership
}

// Unreleased returns the shards that await release, by previous owner. Until the release reported by that
// owner's home is recorded, such a shard can't move to a third server.
func (p *Part) Unreleased() map[ident.Server][]Pending {
	m := map[ident.Server][]Pending{}
	for i, o := range p.Shards {
		if o.Previous != "" {
			m[o.Previous] = append(m[o.Previous], Pending{Shard: ident.Shard(i), Epoch: o.Epoch})
		}
	}
	return m
}

func (p *Part) clone() *Part {
	return &Part{
		Service:   p.Service,
		Rev:       p.Rev,
		Witnesses: p.Witnesses.Clone(),
		Servers:   maps.Clone(p.Servers),
		Shards:    slices.Clone(p.Shards),
	}
}
