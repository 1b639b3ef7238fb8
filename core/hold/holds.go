package hold

import (
	"cmp"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Key is a key of a keyed service, as callers name it.
type Key uint16

// Keys is how many keys a service has.
const Keys = 1 << 16

// Range is keys that lie side by side, both ends included.
type Range struct {
	First, Last Key
}

// Len returns how many keys there are in the range.
func (r Range) Len() int {
	return int(r.Last) - int(r.First) + 1
}

// Has reports whether the key is in the range.
func (r Range) Has(k Key) bool {
	return r.First <= k && k <= r.Last
}

// Stamp orders the lists of holds that coordinators give out.
type Stamp struct {
	Term     site.Term
	Sequence uint64
}

// Before reports whether the list with the stamp is older.
func (s Stamp) Before(x Stamp) bool {
	return cmp.Or(cmp.Compare(s.Term, x.Term), cmp.Compare(s.Sequence, x.Sequence)) < 0
}

// Hold says which backend server holds a range.
type Hold struct {
	Range
	Server ident.Server // empty while nobody does
	Lost   bool         // nobody will for a while: its last holder doesn't answer, and what it holds has to lapse
	Admit  uint8        // percent of the requests to send, where there are more than the server carries; 0 for all
}

// Holds is who holds which keys, as the coordinator believes. It never changes once it is built.
//
// It is a hint that tells where to send: the servers themselves refuse requests for keys that they don't hold, so a
// daemon with an old list costs its callers a step, and no key a second owner.
type Holds struct {
	Stamp    Stamp
	Services map[ident.Service][]Hold // by their first key
}

// Find returns who holds the key. Without a server nobody does, or nobody here knows.
func (h *Holds) Find(s ident.Service, k Key) Hold {
	if h == nil {
		return Hold{}
	}
	l := h.Services[s]
	i, found := slices.BinarySearchFunc(l, k, func(x Hold, k Key) int { return cmp.Compare(x.First, k) })
	if !found {
		i--
	}
	if i < 0 || !l[i].Has(k) {
		return Hold{}
	}
	return l[i]
}
