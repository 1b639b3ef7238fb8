// Package hold decides which backend server holds which keys, and in which steps keys change hands.
//
// A server holds keys by a grant that lapses unless it is renewed, and that bears a fence. The next server is granted
// keys only when the last one has surely stopped: it has answered a release with a higher fence, its life has ended, or
// every grant that it may have been sent has lapsed. What is decided is written to the store before anybody is told, so
// that a coordinator that takes over goes on where the last one stood, whatever of it had been carried out.
package hold

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Fence orders the grants of one key; a server refuses a lower one than it has seen.
type Fence uint64

// Life is one life of a backend server, which may come back under its id.
type Life struct {
	Server ident.Server
	Born   int64
}

// Piece is one range with its holder, as it is written to the store.
type Piece struct {
	Range
	Owner    Life
	Previous Life // may still hold the range; zero when surely nobody but the owner does
}

// piece is a range with what is known of its orders.
type piece struct {
	Piece
	fence    Fence
	handover string    // from the last holder, for the next grant
	granted  bool      // the owner has answered a grant with the fence, or may be taken to hold the keys by an older one
	next     mono.Time // when the next order is due
	accepted bool      // the owner has answered a grant with the present fence
	lapses   mono.Time // when the last grant that was answered has surely lapsed, as far as it helps anybody
	pending  bool      // an order is under way
	failed   bool      // the last order got no answer
	until    mono.Time // when every grant that the owner may have been sent has lapsed; it never goes back
	prevEnds mono.Time // the same for the previous holder

	// An earlier coordinator may have sent grants to the owner, or to the previous holder; they lapse with the table's
	// inherited ones.
	inherits, prevInherits bool
}

// Table is the assignment of one service's keys.
type Table struct {
	terms     Terms
	hold      time.Duration // of the grants that are sent
	inherited mono.Time     // when every grant that earlier coordinators may have sent has lapsed
	pieces    []*piece      // by their first key
	fence     Fence         // the last one used
	reserved  Reserved      // by the row in the store
	shortened mono.Time     // when the last grants that hold for longer than those sent now have lapsed; zero without any
	ended     map[Life]bool // lives that have surely ended
}

// New returns a table for the pieces that the store holds, with what is reserved there: this coordinator uses higher
// fences only. Whatever an earlier coordinator has sent, or may yet send, has lapsed by the time.
func New(now mono.Time, t Terms, l []Piece, r Reserved, lapsed mono.Time) *Table {
	x := &Table{terms: t, hold: r.Hold, fence: r.Fence, reserved: r, inherited: lapsed, ended: map[Life]bool{}}
	for _, p := range l {
		x.pieces = append(x.pieces, &piece{
			Piece: p, granted: p.Previous == Life{}, next: now, lapses: lapsed, inherits: true, prevInherits: true,
		})
	}
	return x
}

// free reports whether the previous holder of a piece surely holds it no longer.
func (t *Table) free(now mono.Time, p *piece) bool {
	return !now.Before(p.prevEnds) && (!p.prevInherits || !now.Before(t.inherited))
}

// prevUntil returns when the previous holder of a piece surely holds it no longer, without its answer.
func (t *Table) prevUntil(p *piece) mono.Time {
	if p.prevInherits {
		return max(p.prevEnds, t.inherited)
	}
	return p.prevEnds
}

// Reserved is what the row in the store says of the orders that are sent under it.
type Reserved struct {
	Fence Fence         // no order has a higher one
	Hold  time.Duration // no grant holds for longer
}

// reserve is how many fences a row reserves at a time: enough for the restarts of servers between two changes of the row.
const reserve = 1 << 16

// Reserve returns what the next row is to reserve, where one coordinator renews so many ranges.
//
// Longer grants are sent once the row says so. Shorter ones are sent at once, and the row says so when the longer ones have
// lapsed: a coordinator that takes over waits for as long as the row says.
func (t *Table) Reserve(now mono.Time, ranges int) Reserved {
	h := t.terms.HoldFor(ranges)
	switch {
	case h >= t.reserved.Hold:
		t.shortened = 0
	case t.shortened == 0:
		t.hold, t.shortened = h, max(t.inherited, now.Add(t.terms.Lapse(t.reserved.Hold)))
		h = t.reserved.Hold
	case now.Before(t.shortened):
		h = t.reserved.Hold
	}
	return Reserved{Fence: t.fence + reserve, Hold: h}
}

// Pieces returns the assignment.
func (t *Table) Pieces() []Piece {
	l := make([]Piece, len(t.pieces))
	for i, p := range t.pieces {
		l[i] = p.Piece
	}
	return l
}

// Committed takes in that the store holds the pieces and what was reserved.
func (t *Table) Committed(now mono.Time, l []Piece, r Reserved) {
	t.reserved = r
	if t.shortened == 0 || t.hold == r.Hold {
		t.hold, t.shortened = r.Hold, 0
	}
	was := t.pieces
	t.pieces = nil
	for _, p := range l {
		t.pieces = append(t.pieces, t.adopt(now, was, p))
	}
	slices.SortFunc(t.pieces, func(a, b *piece) int { return cmp.Compare(a.First, b.First) })
}

// adopt makes the state of a piece out of those that were in its place: a part of one, or several of one owner.
func (t *Table) adopt(now mono.Time, was []*piece, p Piece) *piece {
	var old []*piece
	for _, w := range was {
		if w.First <= p.Last && p.First <= w.Last {
			old = append(old, w)
		}
	}
	x := &piece{Piece: p, next: now}
	for _, w := range old {
		x.prevEnds, x.prevInherits = max(x.prevEnds, w.prevEnds), x.prevInherits || w.prevInherits
	}
	if len(old) == 1 && old[0].Owner == p.Owner {
		*x = *old[0]
		x.Piece = p
		x.pending = x.pending && old[0].Range == p.Range
		return x
	}
	x.fence, x.granted = t.nextFence(), len(old) > 0
	for _, w := range old {
		if w.Owner != p.Owner {
			if w.Owner.Server == p.Previous.Server {
				x.Previous = w.Owner // a later life may have been granted the range while the row was written
			}
			// The last owner may hold the range until its grants have lapsed.
			x.prevEnds, x.prevInherits, x.granted = max(x.prevEnds, w.until), x.prevInherits || w.inherits, false
			continue
		}
		x.until, x.inherits = max(x.until, w.until), x.inherits || w.inherits
		x.lapses, x.granted = max(x.lapses, w.lapses), x.granted && w.granted
	}
	return x
}

func (t *Table) nextFence() Fence {
	t.fence++
	return t.fence
}

// HasFences reports whether there are fences left that the store knows of.
func (t *Table) HasFences() bool {
	return t.fence < t.reserved.Fence
}

// Holds returns who holds which ranges, those left out that are about to be held.
func (t *Table) Holds() []Hold {
	var l []Hold
	for _, p := range t.pieces {
		h := Hold{Range: p.Range}
		switch {
		case p.granted && p.Previous == Life{}:
			h.Server = p.Owner.Server
		case p.failed:
			h.Lost = true
		default:
			continue
		}
		if n := len(l); n > 0 && l[n-1].Server == h.Server && int(l[n-1].Last)+1 == int(p.First) {
			l[n-1].Last = p.Last
			continue
		}
		l = append(l, h)
	}
	return l
}

// Order is what a server is asked for: Grant or Release.
type Order interface {
	order()
}

type (
	// Grant gives or renews keys.
	Grant struct {
		Range
		To       Life
		Fence    Fence
		Hold     time.Duration
		Handover string

		// Ends is until when it may be sent and answered. One that waited behind others for a server that was silent would
		// else arrive when the range has gone to another server, which counts on its having lapsed.
		Ends mono.Time

		// Renewal says that the server has accepted this very grant. It may go over the same connection only: over a new
		// one it could reach the next life of the server, which must be given a higher fence.
		Renewal bool
	}

	// Release takes keys back; it is answered when the work on them has ended. One covers all ranges side by side that
	// leave a server together: keys that turn busy lie close to one another, and a server that is overrun by their requests
	// resets new connections, so that a dozen releases at once would not all reach it.
	Release struct {
		Range
		From  Life
		Fence Fence     // the highest of the parts
		Until mono.Time // when the keys are surely free without an answer
		Parts []ReleasePart
	}

	// ReleasePart is one of the ranges that a Release covers.
	ReleasePart struct {
		Range
		Fence Fence
	}
)

func (Grant) order()   {}
func (Release) order() {}

// Orders returns the orders that are due and counts them as under way; Done must follow for each. It also returns when
// to ask again.
func (t *Table) Orders(now mono.Time) (l []Order, next mono.Time) {
	next = mono.Never
	var release *Release // of the piece before
	flush := func() {
		if release != nil {
			l = append(l, *release)
			release = nil
		}
	}
	for _, p := range t.pieces {
		if release != nil && (p.Previous != release.From || !t.releaseDue(now, p)) {
			flush()
		}
		if p.Previous != (Life{}) && (t.free(now, p) || t.ended[p.Previous]) {
			t.freed(now, p, "")
		}
		if p.pending || p.Previous == (Life{}) && t.ended[p.Owner] {
			continue
		}
		if now.Before(p.next) {
			next = min(next, p.next)
			continue
		}
		if p.fence == 0 {
			p.fence = t.nextFence()
		}
		p.pending = true
		if p.Previous != (Life{}) {
			release = release.with(p, t.prevUntil(p))
			next = min(next, t.prevUntil(p))
			continue
		}
		// Counted before it is sent: the answer may come after the range has been cut up and its ends given to others.
		ends := now.Add(t.terms.Limit)
		p.until = max(p.until, now.Add(t.terms.Lapse(t.hold)))
		l = append(l, Grant{
			Range: p.Range, To: p.Owner, Fence: p.fence, Hold: t.hold, Handover: p.handover, Renewal: p.accepted,
			Ends: ends,
		})
	}
	flush()
	return l, next
}

// releaseDue reports whether a piece is to be released by its previous holder now.
func (t *Table) releaseDue(now mono.Time, p *piece) bool {
	return p.Previous != (Life{}) && !p.pending && !now.Before(p.next) && !t.free(now, p) && !t.ended[p.Previous]
}

// with returns the release with another piece, which lies behind those that it covers.
func (r *Release) with(p *piece, until mono.Time) *Release {
	if r == nil {
		r = &Release{Range: p.Range, From: p.Previous}
	}
	r.Last, r.Fence, r.Until = p.Last, max(r.Fence, p.fence), max(r.Until, until)
	r.Parts = append(r.Parts, ReleasePart{Range: p.Range, Fence: p.fence})
	return r
}

// freed takes in that nobody but the owner can hold the piece any more.
func (t *Table) freed(now mono.Time, p *piece, handover string) {
	p.Previous, p.handover, p.pending, p.next = Life{}, handover, false, now
	p.prevEnds, p.prevInherits, p.failed = 0, false, false
}

// Outcome is how an order ended.
type Outcome uint8

// Outcomes of orders.
const (
	Accepted  Outcome = iota
	Outfenced         // the server has seen a higher fence
	Ended             // that life of the server has ended
	NotSent           // nothing reached the server
	Silent            // it may have been carried out, or may yet be
)

var outcomes = [...]string{"accepted", "outfenced", "ended", "not-sent", "silent"}

// String returns the outcome in kebab case.
func (o Outcome) String() string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return "unknown"
}

// Result is the end of an order.
type Result struct {
	Outcome  Outcome
	Handover string // with an accepted Release
}

// Done takes in the end of an order. The time is when nothing of it could reach the server any more.
func (t *Table) Done(now mono.Time, o Order, r Result) {
	switch x := o.(type) {
	case Grant:
		if p := t.find(x.Range, x.Fence); p != nil && p.Owner == x.To && p.Previous == (Life{}) {
			t.grantDone(now, p, x.Hold, r)
		}
	case Release:
		for _, y := range x.Parts {
			if p := t.find(y.Range, y.Fence); p != nil && p.Previous == x.From {
				t.releaseDone(now, p, r)
			}
		}
	}
}

// find returns the piece that an order was about; the assignment may have changed since.
func (t *Table) find(r Range, f Fence) *piece {
	for _, p := range t.pieces {
		if p.Range == r && p.fence == f {
			return p
		}
	}
	return nil
}

func (t *Table) grantDone(now mono.Time, p *piece, hold time.Duration, r Result) {
	p.pending, p.failed = false, r.Outcome != Accepted
	switch r.Outcome {
	case Accepted:
		p.granted, p.accepted, p.handover, p.next = true, true, "", now.Add(RenewAfter(hold))
	case Outfenced, Silent:
		// Sent again it gets a higher fence: the server may have started again since.
		p.fence, p.accepted, p.next = t.nextFence(), false, now.Add(t.terms.Retry)
	case Ended:
		t.end(p.Owner)
	case NotSent:
		p.next = now.Add(t.terms.Retry)
	}
	if r.Outcome == Accepted {
		p.lapses = now.Add(hold)
	}
	if !now.Before(p.lapses) {
		p.granted = false // whoever is sent a request for the range refuses it
	}
}

func (t *Table) releaseDone(now mono.Time, p *piece, r Result) {
	switch r.Outcome {
	case Accepted:
		t.freed(now, p, r.Handover)
	case Ended:
		t.end(p.Previous)
		t.freed(now, p, "")
	case Outfenced, NotSent, Silent:
		p.pending, p.failed, p.next = false, true, now.Add(t.terms.Retry)
	}
}

// end takes in that a life has surely ended, and with it all that it held. Its ranges can go to others at once, where the
// grants of a server that is only silent have to lapse first.
func (t *Table) end(l Life) {
	t.ended[l] = true
	for _, p := range t.pieces {
		if p.Owner == l {
			p.granted, p.accepted, p.failed = false, false, false
		}
	}
}

// HasEnded reports whether the life has surely ended, whatever its announcement still says.
func (t *Table) HasEnded(l Life) bool {
	return t.ended[l]
}

// Lost takes in that the connection to a server ended: the server may have started again and know nothing of its grants.
// The next grant of each of its ranges bears a higher fence, which is right for either life.
func (t *Table) Lost(now mono.Time, s ident.Server) {
	for _, p := range t.pieces {
		if p.Owner.Server == s && p.Previous == (Life{}) {
			p.fence, p.accepted, p.next, p.pending = t.nextFence(), false, now, false
		}
	}
}

// Reborn takes in which lives servers are announced in. One that has started again under its id holds nothing any more of
// what its earlier life did.
func (t *Table) Reborn(now mono.Time, born func(ident.Server) (int64, bool)) {
	for _, p := range t.pieces {
		if b, ok := born(p.Previous.Server); ok && p.Previous.Born != b {
			t.previousReborn(now, p, b)
		}
		if b, ok := born(p.Owner.Server); ok && p.Owner.Born != b {
			p.Owner.Born, p.granted, p.handover = b, false, ""
			p.fence, p.accepted, p.next, p.pending = t.nextFence(), false, now, false
		}
	}
}

// previousReborn takes in that the previous holder of a piece has started again. Its next life holds nothing, unless an
// earlier coordinator has granted it the piece.
func (t *Table) previousReborn(now mono.Time, p *piece, born int64) {
	if !p.prevInherits || t.free(now, p) {
		t.freed(now, p, "")
		return
	}
	p.Previous.Born, p.pending, p.next = born, false, now
}
