// Package part is the aggregate of one service's assignments: witnesses, the home of each backend server, the owner of each shard.
//
// A Part never changes once built: Apply returns another one, which shares what stayed the same. Readers
// on the request path therefore need no lock, they load a pointer.
package part

import (
	"maps"
	"slices"

	"heatherrouter/core/ident"
)

// ChunkSize is how many neighbouring shards one row holds.
const ChunkSize = 64

// State is how a backend server may be given work.
type State uint8

const (
	// Active servers are given work.
	Active State = iota
	// Draining servers finish what they have and are given nothing new.
	Draining
	// Down servers are given nothing until their home has seen them work again.
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

// Witnesses are the daemons that give the leases of the service's servers, in order of rank:
// the first one that is alive acts as coordinator.
type Witnesses struct {
	Current []ident.Daemon
	Next    []ident.Daemon // with a change under way: a lease needs a majority of both
	Retired []ident.Daemon // replaced by the last change; they go on answering with a pointer to Current
}

// Changing reports whether a change of witnesses is under way.
func (w Witnesses) Changing() bool {
	return len(w.Next) > 0
}

// Clone returns a copy that shares nothing with w.
func (w Witnesses) Clone() Witnesses {
	return Witnesses{Current: slices.Clone(w.Current), Next: slices.Clone(w.Next), Retired: slices.Clone(w.Retired)}
}

// Equal reports whether both name the same daemons in the same order.
func (w Witnesses) Equal(x Witnesses) bool {
	return slices.Equal(w.Current, x.Current) && slices.Equal(w.Next, x.Next) && slices.Equal(w.Retired, x.Retired)
}

// Server says which daemon may send work to a backend server.
type Server struct {
	ID        ident.Server
	Home      ident.Daemon
	Epoch     ident.Epoch  // belongs to Home alone
	Standby   ident.Daemon // may take over with Epoch+1 once the home's lease has lapsed; empty when none
	State     State
	Supersede bool // the home shall stop renewals of older epochs at the witnesses
}

// Ownership says which backend server owns a shard.
type Ownership struct {
	Server   ident.Server // empty for a shard that has no owner yet
	Epoch    ident.Epoch
	Previous ident.Server // last owner, which must release the shard first; empty once it has
}

// Part is the assignment of one service at one revision. It must not be changed; Apply makes another one.
type Part struct {
	Service   ident.Service
	Rev       ident.Rev
	Witnesses Witnesses
	Servers   map[ident.Server]Server
	Shards    []Ownership // by number; empty for an unkeyed service
}

// New returns the empty part of a service.
func New(s ident.Service) *Part {
	return &Part{Service: s, Servers: map[ident.Server]Server{}}
}

// Owner returns the ownership of a shard, or the zero value for a shard that nobody owns.
func (p *Part) Owner(s ident.Shard) Ownership {
	if int(s) >= len(p.Shards) {
		return Ownership{}
	}
	return p.Shards[s]
}

// Server returns the row of a backend server.
func (p *Part) Server(s ident.Server) (Server, bool) {
	x, ok := p.Servers[s]
	return x, ok
}

// ServerIDs returns the names of all servers that have a row, sorted.
func (p *Part) ServerIDs() []ident.Server {
	return slices.Sorted(maps.Keys(p.Servers))
}

// EpochStep is how far one transaction may raise the epoch of a server: past the one of its standby.
const EpochStep = 2

// FirstEpoch returns the lowest epoch for a server that has no row.
//
// A server may be removed and come back. Were it to start at 1 again, witnesses that remember its former
// epochs would refuse it, and those that restarted would give a number that a former home may still hold.
// As no transaction raises an epoch by more than EpochStep, no former row has had one as high as this.
func (p *Part) FirstEpoch() ident.Epoch {
	return ident.Epoch(p.Rev)*EpochStep + 1
}

// Chunks returns how many rows the shards take.
func (p *Part) Chunks() int {
	return (len(p.Shards) + ChunkSize - 1) / ChunkSize
}

// Chunk returns the ownerships of one row of shards.
func (p *Part) Chunk(n int) []Ownership {
	return p.Shards[n*ChunkSize : min((n+1)*ChunkSize, len(p.Shards))]
}

// Pending is a shard whose last owner has not yet been seen to release it.
type Pending struct {
	Shard ident.Shard
	Epoch ident.Epoch // of the new ownership
}

// Unreleased returns the shards that wait for their last owner, by last owner. Until the word of that
// owner's home is written down, such a shard can't go on to a third server.
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
