// Package hold decides which backend server holds which keys, and in which steps keys move between servers.
//
// A server holds keys by a grant that carries a fence and expires unless it is renewed. Keys are granted to the next
// server only when the previous owner is guaranteed to have stopped: it has answered a release with a higher fence, its
// incarnation has ended, or every grant that may have been sent to it has expired. Decisions are written to the store
// before any order is sent, so that a coordinator that takes over can continue from the row, however many of the orders
// were carried out.
package hold

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Fence orders the grants of one key. A server refuses a fence lower than the highest that it has received.
type Fence uint64

// Incarnation identifies one run of a backend server, which may restart under the same id.
type Incarnation struct {
	Server ident.Server
	Born   int64 // Unix milliseconds of its start
}

// Assignment is one range and its owner, as written to the store.
type Assignment struct {
	Range
	Owner    Incarnation
	Previous Incarnation // may still hold the range; zero if only the owner can hold it
}

// rangeState is an assignment and the state of its orders.
type rangeState struct {
	Assignment
	fence         Fence
	handover      string     // from the previous owner, passed on with the next grant
	granted       bool       // the owner holds the range by a grant with this fence or by an older one
	nextOrder     mono.Time  // when the next order is due
	accepted      bool       // the owner has accepted a grant with the current fence
	connection    Connection // over which it has
	acceptedUntil mono.Time  // when the last accepted grant has expired; requests are sent to the owner until then
	pending       bool       // an order is in progress
	failed        bool       // the last order was not accepted
	sent          sentGrants // to the owner
	prevSent      sentGrants // to the previous owner

	// ownerInherited and prevInherited are set while an earlier coordinator may have sent grants to the owner or to the
	// previous owner. Those grants expire at Table.inheritedExpire.
	ownerInherited, prevInherited bool
}

// Table holds the assignments of one service's keys and the state of their orders.
type Table struct {
	timing           Timing
	ttl              time.Duration        // TTL of the grants that are sent
	inheritedExpire  mono.Time            // when every grant that earlier coordinators may have sent has expired
	releasesFrom     mono.Time            // from which owners inherited from earlier coordinators are sent releases
	ranges           []*rangeState        // ordered by first key
	fence            Fence                // last one used
	reservation      Reservation          // as stated by the row in the store
	longGrantsExpire mono.Time            // when the last grants with a TTL above ttl have expired; zero if there are none
	ended            map[Incarnation]bool // incarnations known to have ended
	freed            []Freed              // since the last call of TakeFreed
}

// New returns a table for the assignments in the store and their reservation. The table uses only fences above the
// reserved one. By the time expired, every grant that an earlier coordinator has sent, or may still send, has expired.
func New(now mono.Time, t Timing, l []Assignment, r Reservation, expired mono.Time) *Table {
	x := &Table{timing: t, ttl: r.MaxTTL, fence: r.Fence, reservation: r, inheritedExpire: expired, ended: map[Incarnation]bool{}}
	for _, p := range l {
		x.ranges = append(x.ranges, &rangeState{
			Assignment: p, granted: p.Previous == Incarnation{}, nextOrder: now, acceptedUntil: expired, ownerInherited: true, prevInherited: true,
		})
	}
	return x
}

// DelayReleases delays the releases to owners that were inherited from earlier coordinators, as long as those may send grants that a
// release doesn't prevent.
func (t *Table) DelayReleases(until mono.Time) { t.releasesFrom = until }

// Adopt takes over what a table that this one replaces in the same term knows of servers: incarnations that have ended, and grants
// that may be in force or may still be sent.
func (t *Table) Adopt(now mono.Time, was *Table) {
	t.ended, t.freed = was.ended, was.freed
	for _, p := range t.ranges {
		for _, w := range was.ranges {
			if w.First <= p.Last && p.First <= w.Last {
				l := w.sent.with(now, w.prevSent...)
				p.sent, p.prevSent = p.sent.with(now, l...), p.prevSent.with(now, l...)
			}
		}
	}
}

// prevExpired reports whether the previous owner is guaranteed to have stopped holding the range.
func (t *Table) prevExpired(now mono.Time, p *rangeState) bool {
	return !now.Before(t.prevExpiry(p))
}

// prevExpiry returns when the previous owner is guaranteed to have stopped holding the range if it does not answer.
func (t *Table) prevExpiry(p *rangeState) mono.Time {
	if p.prevInherited {
		return max(p.prevSent.expiry(), t.inheritedExpire)
	}
	return p.prevSent.expiry()
}

// prevEnded reports whether the previous owner has ended and no other incarnation of it may hold the range. That an
// incarnation has ended is known from its address, where the grants for another one, or those of an earlier coordinator, may
// not have been sent.
func (t *Table) prevEnded(now mono.Time, p *rangeState) bool {
	if !t.ended[p.Previous] || p.prevInherited && now.Before(t.inheritedExpire) {
		return false
	}
	return p.prevSent.onlyTo(now, t.HasEnded)
}

// Reservation holds the bounds that the row in the store sets on the orders sent under it.
type Reservation struct {
	Fence  Fence         // highest fence of any order
	MaxTTL time.Duration // longest TTL of any grant
}

// reservedFences is the number of fences that a row reserves: enough for the server restarts between two changes of the
// row.
const reservedFences = 1 << 16

// Reserve returns the reservation for the next row, given the number of ranges that the coordinator renews.
//
// A longer TTL is used only once the row states it. A shorter TTL is used at once, and the row states it when the
// longer grants have expired, because a coordinator that takes over waits for the TTL in the row.
func (t *Table) Reserve(now mono.Time, ranges int) Reservation {
	h := t.timing.TTLFor(ranges)
	switch {
	case h >= t.reservation.MaxTTL:
		t.longGrantsExpire = 0
	case t.longGrantsExpire == 0:
		t.ttl, t.longGrantsExpire = h, max(t.inheritedExpire, now.Add(t.timing.ExpiryBound(t.reservation.MaxTTL)))
		h = t.reservation.MaxTTL
	case now.Before(t.longGrantsExpire):
		h = t.reservation.MaxTTL
	}
	return Reservation{Fence: t.fence + reservedFences, MaxTTL: h}
}

// Assignments returns a copy of the assignments, ordered by first key.
func (t *Table) Assignments() []Assignment {
	l := make([]Assignment, len(t.ranges))
	for i, p := range t.ranges {
		l[i] = p.Assignment
	}
	return l
}

// Committed records that the store holds the assignments l and the reservation r. What was learnt of servers while the row was
// written is kept.
func (t *Table) Committed(now mono.Time, l []Assignment, r Reservation) {
	t.reservation = r
	if t.longGrantsExpire == 0 || t.ttl == r.MaxTTL {
		t.ttl, t.longGrantsExpire = r.MaxTTL, 0
	}
	was := t.ranges
	t.ranges = nil
	for _, p := range l {
		t.ranges = append(t.ranges, t.deriveState(now, was, p))
	}
	slices.SortFunc(t.ranges, func(a, b *rangeState) int { return cmp.Compare(a.First, b.First) })
}

// deriveState builds the state of an assignment from the states that overlap it: a range may have been split, or
// several ranges of one owner merged.
func (t *Table) deriveState(now mono.Time, was []*rangeState, p Assignment) *rangeState {
	var old []*rangeState
	for _, w := range was {
		if w.First <= p.Last && p.First <= w.Last {
			old = append(old, w)
		}
	}
	if len(old) == 1 && old[0].Owner == p.Owner {
		// The previous owner in memory is newer than the one in the row: it may have released the range, or have restarted,
		// while the row was written.
		x := *old[0]
		x.Range = p.Range
		x.pending = x.pending && old[0].Range == p.Range
		return &x
	}
	x := &rangeState{Assignment: p, nextOrder: now, fence: t.nextFence(), granted: len(old) > 0}
	for _, w := range old {
		x.prevSent, x.prevInherited = x.prevSent.with(now, w.prevSent...), x.prevInherited || w.prevInherited
		if w.Owner != p.Owner {
			if w.Owner.Server == p.Previous.Server {
				x.Previous = w.Owner // a later incarnation may have been granted the range while the row was written
			}
			// The former owner may hold the range until its grants have expired.
			x.prevSent, x.prevInherited, x.granted = x.prevSent.with(now, w.sent...), x.prevInherited || w.ownerInherited, false
			continue
		}
		x.sent, x.ownerInherited = x.sent.with(now, w.sent...), x.ownerInherited || w.ownerInherited
		x.acceptedUntil, x.granted = max(x.acceptedUntil, w.acceptedUntil), x.granted && w.granted
	}
	return x
}

func (t *Table) nextFence() Fence {
	t.fence++
	return t.fence
}

// HasFences reports whether unused fences are left below the reserved one.
func (t *Table) HasFences() bool {
	return t.fence < t.reservation.Fence
}

// Holds returns the current holders, and the ranges that are lost. It omits ranges that are about to be granted.
func (t *Table) Holds() []Hold {
	var l []Hold
	for _, p := range t.ranges {
		h := Hold{Range: p.Range}
		switch {
		case p.granted && p.Previous == Incarnation{}:
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

// Orders returns the orders that are due and marks them as pending. The caller must call Done for each. It also returns
// when to call Orders again.
func (t *Table) Orders(now mono.Time) (l []Order, next mono.Time) {
	next = mono.Never
	var release *Release // adjacent ranges of one previous owner, collected so far
	flush := func() {
		if release != nil {
			l = append(l, *release)
			release = nil
		}
	}
	for _, p := range t.ranges {
		if release != nil && (p.Previous != release.From || !t.releaseDue(now, p)) {
			flush()
		}
		if r, ok := t.prevStopped(now, p); ok {
			t.clearPrevious(now, p, r, "")
		}
		if p.pending || p.Previous == (Incarnation{}) && t.ended[p.Owner] {
			continue
		}
		if now.Before(p.nextOrder) {
			next = min(next, p.nextOrder)
			continue
		}
		if p.Previous != (Incarnation{}) && !t.releaseDue(now, p) {
			next = min(next, t.prevExpiry(p))
			if now.Before(t.releasesFrom) {
				next = min(next, t.releasesFrom)
			}
			if p.prevSent.inProgress() {
				next = min(next, now.Add(grantPoll))
			}
			continue
		}
		if p.fence == 0 {
			p.fence = t.nextFence()
		}
		p.pending = true
		if p.Previous != (Incarnation{}) {
			release = release.with(p, t.prevExpiry(p))
			next = min(next, t.prevExpiry(p))
			continue
		}
		// Recorded before the grant is sent: the range may have been split and its ends reassigned by the time of the
		// answer.
		record := &sentGrant{to: p.Owner, expires: mono.Never}
		p.sent = p.sent.with(now, record)
		l = append(l, Grant{
			Range: p.Range, To: p.Owner, Fence: p.fence, TTL: t.ttl, Handover: p.handover, Renewal: p.accepted, Connection: p.connection,
			Ends: now.Add(t.timing.Timeout), record: record,
		})
	}
	flush()
	return l, next
}

// grantPoll is the time between checks whether a grant to the previous owner of a range is still in progress.
const grantPoll = 10 * time.Millisecond

// releaseDue reports whether the previous owner of a range must be sent a release now. A grant in progress must end before:
// sent after the release was answered, it would reach the next incarnation of the server, which has seen no fence.
func (t *Table) releaseDue(now mono.Time, p *rangeState) bool {
	if p.Previous == (Incarnation{}) || p.pending || now.Before(p.nextOrder) || t.ended[p.Previous] || p.prevInherited && now.Before(t.releasesFrom) {
		return false
	}
	return !p.prevSent.inProgress() && !t.prevExpired(now, p)
}

// prevStopped reports whether the previous owner of a range has stopped holding it without an answer to a release, and why.
func (t *Table) prevStopped(now mono.Time, p *rangeState) (FreeReason, bool) {
	switch {
	case p.Previous == (Incarnation{}):
		return 0, false
	case t.prevEnded(now, p):
		return PreviousEnded, true
	}
	return GrantsExpired, t.prevExpired(now, p)
}

// clearPrevious records that only the owner can hold the range from now on.
func (t *Table) clearPrevious(now mono.Time, p *rangeState, r FreeReason, handover string) {
	t.freed = append(t.freed, Freed{Range: p.Range, Previous: p.Previous, Owner: p.Owner, Reason: r})
	p.Previous, p.handover, p.pending, p.nextOrder = Incarnation{}, handover, false, now
	p.prevSent, p.prevInherited, p.failed = nil, false, false
}

// Done records the result of an order. The caller guarantees that nothing of the order reaches the server after now.
func (t *Table) Done(now mono.Time, o Order, r Result) {
	switch x := o.(type) {
	case Grant:
		if x.record != nil {
			x.record.end(now, t.timing, x, r.Outcome)
		}
		if p := t.find(x.Range, x.Fence); p != nil && p.Owner == x.To && p.Previous == (Incarnation{}) {
			t.grantDone(now, p, x.TTL, r)
		}
	case Release:
		for _, y := range x.Parts {
			if p := t.find(y.Range, y.Fence); p != nil && p.Previous == x.From {
				t.releaseDone(now, p, r)
			}
		}
	}
}

// find returns the state of the range that an order was for, or nil if the assignments have changed since.
func (t *Table) find(r Range, f Fence) *rangeState {
	for _, p := range t.ranges {
		if p.Range == r && p.fence == f {
			return p
		}
	}
	return nil
}

func (t *Table) grantDone(now mono.Time, p *rangeState, ttl time.Duration, r Result) {
	p.pending, p.failed = false, r.Outcome != Accepted
	switch r.Outcome {
	case Accepted:
		p.granted, p.accepted, p.connection, p.handover, p.nextOrder = true, true, r.Connection, "", now.Add(RenewAfter(ttl))
	case Outfenced, Silent:
		// The next grant needs a higher fence: the server may have restarted.
		p.fence, p.accepted, p.nextOrder = t.nextFence(), false, now.Add(t.timing.RetryDelay)
	case Ended:
		t.markEnded(p.Owner)
	case NotSent:
		if p.accepted { // the connection of the renewal may be lost
			p.fence, p.accepted = t.nextFence(), false
		}
		p.nextOrder = now.Add(t.timing.RetryDelay)
	}
	if r.Outcome == Accepted {
		p.acceptedUntil = now.Add(ttl)
	}
	if !now.Before(p.acceptedUntil) {
		p.granted = false // the grant has expired: the server refuses requests for the range
	}
}

func (t *Table) releaseDone(now mono.Time, p *rangeState, r Result) {
	switch r.Outcome {
	case Accepted:
		t.clearPrevious(now, p, Released, r.Handover)
	case Ended:
		t.markEnded(p.Previous)
		p.pending, p.nextOrder = false, now
	case Outfenced, NotSent, Silent:
		p.pending, p.failed, p.nextOrder = false, true, now.Add(t.timing.RetryDelay)
	}
}

// markEnded records that an incarnation has ended and holds nothing any more. Its ranges can be granted to others at
// once, whereas the grants of a server that is only unresponsive must expire first.
func (t *Table) markEnded(l Incarnation) {
	t.ended[l] = true
	for _, p := range t.ranges {
		if p.Owner == l {
			p.granted, p.accepted, p.failed = false, false, false
		}
	}
}

// HasEnded reports whether the incarnation is known to have ended, even if it is still announced.
func (t *Table) HasEnded(l Incarnation) bool {
	return t.ended[l]
}

// ConnectionLost records that the connection to a server was lost: the server may have restarted and lost its grants.
// The next grant of each of its ranges has a higher fence, which is valid for the old and the new incarnation.
func (t *Table) ConnectionLost(now mono.Time, s ident.Server) {
	for _, p := range t.ranges {
		if p.Owner.Server == s && p.Previous == (Incarnation{}) {
			p.fence, p.accepted, p.nextOrder, p.pending = t.nextFence(), false, now, false
		}
	}
}

// UpdateIncarnations updates the assignments to the incarnations that servers announce; born returns the one of a
// server. A restarted server holds nothing that its earlier incarnation held, but orders for that one that were sent on
// new connections have reached whichever incarnation had its address.
func (t *Table) UpdateIncarnations(now mono.Time, born func(ident.Server) (int64, bool)) {
	for _, p := range t.ranges {
		if b, ok := born(p.Previous.Server); ok && p.Previous.Born != b {
			t.updatePreviousIncarnation(now, p, b)
		}
		if b, ok := born(p.Owner.Server); ok && p.Owner.Born != b {
			p.Owner.Born, p.granted, p.handover = b, false, ""
			p.fence, p.accepted, p.nextOrder, p.pending = t.nextFence(), false, now, false
		}
	}
}

// updatePreviousIncarnation records that the previous owner of a range has restarted. Any coordinator's grant may have
// reached its new incarnation before that was announced, so the range is released there as well.
func (t *Table) updatePreviousIncarnation(now mono.Time, p *rangeState, born int64) {
	if t.prevExpired(now, p) {
		t.clearPrevious(now, p, GrantsExpired, "")
		return
	}
	p.Previous.Born, p.pending, p.nextOrder = born, false, now
}
