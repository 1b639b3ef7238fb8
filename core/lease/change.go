package lease

import (
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Change is a change of witnesses under way, as its coordinator sees it. It is soft state: a coordinator that takes
// over makes a new Change from the row and asks the witnesses to retire again.
type Change struct {
	terms   Terms
	set     Set
	retired map[ident.Daemon]bool
	given   map[ident.Server]ident.Epoch
	settles mono.Time
}

// Begin returns the row that starts a change to the next witnesses, and whether one may start.
// A second change can't start before the first has settled: a lease would need a majority of three sets.
func Begin(x Set, next []ident.Daemon) (Set, bool) {
	if len(x.Next) > 0 || len(next) == 0 {
		return x, false
	}
	return Set{Current: x.Current, Next: next}, true
}

// NewChange returns the change that the committed row tells of.
func NewChange(t Terms, x Set) *Change {
	return &Change{terms: t, set: x, retired: map[ident.Daemon]bool{}, given: map[ident.Server]ident.Epoch{}, settles: mono.Never}
}

// Rev returns the revision of the row that the change was made from.
func (c *Change) Rev() ident.Rev { return c.set.Rev }

// Ask returns the witnesses that have yet to be told to retire.
func (c *Change) Ask() []ident.Daemon {
	var l []ident.Daemon
	for _, d := range c.set.Current {
		if !c.retired[d] {
			l = append(l, d)
		}
	}
	return l
}

// Gave takes what a witness has given, as it tells when it retires. Call it before Retired, so that the change can't
// settle without it.
func (c *Change) Gave(l map[ident.Server]ident.Epoch) {
	for s, e := range l {
		c.given[s] = max(c.given[s], e)
	}
}

// Retired takes a witness's word that it has retired. A host that is surely gone for good counts as well.
func (c *Change) Retired(now mono.Time, d ident.Daemon) {
	if !slices.Contains(c.set.Current, d) {
		return
	}
	c.retired[d] = true
	if c.settles == mono.Never && len(c.retired) > len(c.set.Current)/2 {
		c.settles = now.Add(c.terms.Lapse())
	}
}

// Settled returns the row that settles the change, and whether it may be written now.
//
// A home that hasn't heard of the change may hold a lease that the old set gave just before it retired. Had the row
// been written at once, another home would get the lease from the new set alone, and both would send.
func (c *Change) Settled(now mono.Time) (Set, bool) {
	return Set{Current: c.set.Next}, !now.Before(c.settles)
}

// TakenOver reports whether a standby has taken the server over and the row doesn't tell of it. The transaction that
// settles the change must then assign the server anew.
//
// The next witnesses know nothing of the takeover. When the standby is lost, they would give the old home its epoch
// again, and a server that has seen the standby's refuses all that this home sends.
func (c *Change) TakenOver(s ident.Server, a Assignment) bool {
	return c.given[s] > a.Epoch
}
