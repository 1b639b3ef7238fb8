package hold

import (
	"cmp"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Key is a key of a keyed service, as callers name it.
type Key uint16

// Keys is the number of keys of a service.
const Keys = 1 << 16

// Range is a contiguous range of keys, both ends included.
type Range struct {
	First, Last Key
}

// Len returns the number of keys in the range.
func (r Range) Len() int {
	return int(r.Last) - int(r.First) + 1
}

// Has reports whether the key is in the range.
func (r Range) Has(k Key) bool {
	return r.First <= k && k <= r.Last
}

// Stamp orders the lists of holds that coordinators publish.
type Stamp struct {
	Term     site.Term
	Sequence uint64
}

// Before reports whether s is older than x.
func (s Stamp) Before(x Stamp) bool {
	return cmp.Or(cmp.Compare(s.Term, x.Term), cmp.Compare(s.Sequence, x.Sequence)) < 0
}

// Hold states which backend server holds a range.
type Hold struct {
	Range
	Server ident.Server // empty if the range has no holder
	Lost   bool         // no holder for a while: the last one does not answer, and its grants have to expire
	Admit  uint8        // percentage of requests to send if they exceed the capacity of the server; 0 means all
}

// Holds lists the holders of all keys according to the coordinator. It is immutable.
//
// It is only a routing hint. Servers refuse requests for keys that they do not hold, so a daemon with an outdated list
// costs its callers an extra step, but never gives a key a second owner.
type Holds struct {
	Stamp    Stamp
	Services map[ident.Service][]Hold // ordered by first key
}

// Find returns the hold of the key. Its Server is empty if the key has no holder or the holder is unknown here.
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
