package grant

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// service is the state of the assignment of one service's keys in the current term.
type service struct {
	name             ident.Service
	table            *hold.Table
	rev              store.Rev         // revision of its row; 0 if it has none
	stored           []hold.Assignment // assignments in the row
	fencesReserved   bool              // whether the row reserves fences above those of earlier terms
	writing          bool              // whether a transaction is in progress
	writeStartedAt   mono.Time         // when the plan last started a transaction
	firstSeenAt      mono.Time         // when a service without a row was first seen to have servers
	serverCount      int
	serversChangedAt mono.Time   // when serverCount last changed
	holds            []hold.Hold // holds of the table when they were last published
	published        []hold.Hold
	replanned        bool          // whether a plan was made since the holds were last published
	targets          []hold.Target // targets of the last plan
	rates            hold.Rates
	bounds           map[ident.Server]float64       // requests per second that daemons may send to servers that are overloaded
	earlier          []hold.Hold                    // holds of the earlier coordinator, whose percentages are kept; nil for none
	restoredUntil    map[hold.Incarnation]mono.Time // until when a server counts as restored after its limit
}

// loadService reads the assignment of a service from the feed. It returns nil if the row can't be decoded.
func (g *Granter) loadService(n ident.Service, now mono.Time) *service {
	x := &service{name: n, restoredUntil: map[hold.Incarnation]mono.Time{}}
	row, ok := g.o.Feed.Row(feed.KeysRow(n))
	w := &wire.KeysRow{}
	if ok {
		if err := proto.Unmarshal(row.Value, w); err != nil {
			g.o.Log.Error().Err(err).Str("service", string(n)).Msg("assignment not decoded, its keys stay where they are")
			return nil
		}
		x.rev = row.Rev
	}
	for _, p := range w.GetPieces() {
		x.stored = append(x.stored, hold.Assignment{
			Range:    hold.Range{First: hold.Key(p.GetFirst()), Last: hold.Key(p.GetLast())}, //nolint:gosec // keys as encoded
			Owner:    hold.Incarnation{Server: ident.Server(p.GetServer()), Born: p.GetBorn()},
			Previous: hold.Incarnation{Server: ident.Server(p.GetPrevious()), Born: p.GetPreviousBorn()},
		})
		if p.GetServer() != "" {
			g.o.Feed.LearnIncarnation(ident.Server(p.GetServer()), p.GetBorn())
		}
	}
	r := hold.Reservation{
		Fence:  hold.Fence(w.GetFence()),
		MaxTTL: max(g.o.Timing.TTL, time.Duration(w.GetHoldMs())*time.Millisecond), //nolint:gosec // below an hour
	}
	x.table = hold.New(now, g.o.Timing, x.stored, r, g.earlierOrders.End().Add(g.o.Timing.ExpiryBound(r.MaxTTL)))
	x.table.DelayReleases(g.earlierOrders.RenewOnly())
	g.services[n] = x
	return x
}

func encodeKeys(l []hold.Assignment, r hold.Reservation) ([]byte, error) {
	w := &wire.KeysRow{Fence: uint64(r.Fence), HoldMs: uint64(r.MaxTTL.Milliseconds())} //nolint:gosec // never negative
	for _, p := range l {
		w.Pieces = append(w.Pieces, &wire.KeysPiece{
			First: uint32(p.First), Last: uint32(p.Last), Server: string(p.Owner.Server), Born: p.Owner.Born,
			Previous: string(p.Previous.Server), PreviousBorn: p.Previous.Born,
		})
	}
	return proto.Marshal(w)
}

// settledWriteDelay is the least time between transactions before one that only removes released previous owners from the
// row. While keys move, the next change of ranges removes them as well.
const settledWriteDelay = 3 * time.Second

// updateService plans and writes the assignment, sends the orders that are due, and returns the time of the next update.
func (g *Granter) updateService(s *site.Snapshot, x *service, due bool) mono.Time {
	now := g.o.Clock.Now()
	x.table.UpdateIncarnations(now, func(id ident.Server) (int64, bool) {
		y := s.Servers[id]
		if y == nil || y.Service != x.name {
			return 0, false
		}
		return y.Born, true
	})
	if x.rev == 0 && !x.serversSettled(now, len(g.targets(s, x, now))) {
		return now.Add(settleDelay)
	}
	settling := g.settling(s, x) // asked before mustMove, so that a server that ceases to settle in between must move its keys
	if !x.writing && (due || g.mustMove(s, x)) {
		g.plan(x, g.targets(s, x, now), now)
	}
	if due {
		g.updateBounds(s, x, now)
	}
	if x.rev == 0 {
		return now.Add(planInterval)
	}
	if !x.fencesReserved || !x.table.HasFences() {
		if !x.writing {
			g.write(x, x.table.Assignments())
		}
		return now.Add(pollInterval)
	}
	orders, next := x.table.Orders(g.o.Clock.Now())
	g.logFreed(x)
	for _, o := range orders {
		g.sendOrder(x.name, o)
	}
	if settling {
		next = min(next, now.Add(settlingInterval))
	}
	return next
}

// logFreed logs the ranges that their previous owners hold no longer, and the evidence for it.
func (g *Granter) logFreed(x *service) {
	for _, f := range x.table.TakeFreed() {
		g.o.Log.Info().Str("service", string(x.name)).Uint64("term", uint64(g.term)).Uint16("first", uint16(f.First)).Uint16("last", uint16(f.Last)).
			Str("previous", string(f.Previous.Server)).Int64("previous-born", f.Previous.Born).Str("owner", string(f.Owner.Server)).
			Str("reason", f.Reason.String()).Bool("earlier-orders-ended", g.earlierOrdersEnded()).Msg("keys freed")
	}
}

// settlingInterval is the time between checks of a server that begins a backoff.
const settlingInterval = 25 * time.Millisecond

// settling reports whether a server of the service begins a backoff.
func (g *Granter) settling(s *site.Snapshot, x *service) bool {
	return slices.ContainsFunc(s.ServersOf(x.name), func(y *site.Server) bool { return g.o.Reports.Placement(y) == report.Settling })
}

// updatePublished updates the holds to publish, with the share of requests to admit for each, and reports whether they changed.
func (x *service) updatePublished() bool {
	l := x.table.Holds()
	if !x.replanned && slices.Equal(l, x.holds) {
		return false
	}
	x.holds, x.replanned = l, false
	prev := x.published
	x.published = x.admitted(l)
	return !slices.Equal(prev, x.published)
}

// serversSettled reports whether the set of servers is stable enough to assign the keys of a service without an assignment.
func (x *service) serversSettled(now mono.Time, servers int) bool {
	if servers == 0 {
		return false
	}
	if x.firstSeenAt == 0 {
		x.firstSeenAt = now
	}
	if servers != x.serverCount {
		x.serverCount, x.serversChangedAt = servers, now
	}
	return now.Sub(x.serversChangedAt) >= settleDelay || now.Sub(x.firstSeenAt) >= maxSettleDelay
}

// mustMove reports whether some keys are owned by a server that may not hold keys.
func (g *Granter) mustMove(s *site.Snapshot, x *service) bool {
	for _, p := range x.table.Assignments() {
		o := s.Servers[p.Owner.Server]
		if (o == nil || !g.mayHold(s, o) || x.table.HasEnded(p.Owner)) && p.Previous == (hold.Incarnation{}) {
			return true
		}
	}
	return false
}

// mayHold reports whether a server may hold keys, as far as its row and its own words go.
func (g *Granter) mayHold(s *site.Snapshot, x *site.Server) bool {
	return s.Accepts(x) && g.o.Reports.Placement(x) != report.Excluded
}

// restoreTime is how long a server counts as restored after its limit or its backoff has ended. Its keys are back after a few plans.
const restoreTime = 10 * time.Second

// targets returns the servers that may hold keys. It leaves out those known to have ended, which stay announced for seconds.
func (g *Granter) targets(s *site.Snapshot, v *service, now mono.Time) []hold.Target {
	var l []hold.Target
	for _, x := range s.ServersOf(v.name) {
		inc := hold.Incarnation{Server: x.ID, Born: x.Born}
		if g.mayHold(s, x) && !v.table.HasEnded(inc) {
			limit, unproven := g.o.Reports.Limit(x), g.o.Reports.Placement(x) == report.Unproven
			if limit > 0 || unproven {
				v.restoredUntil[inc] = now.Add(restoreTime)
			}
			l = append(l, hold.Target{
				Incarnation: inc, Cold: now.Before(x.ColdUntil), Slots: x.Slots, ServiceTime: g.serviceTime(now, x),
				Limit: limit, Unproven: unproven, Restored: limit == 0 && !unproven && now.Before(v.restoredUntil[inc]),
			})
		}
	}
	return l
}

// plan computes the next assignment and starts to write it if it has changed.
func (g *Granter) plan(x *service, targets []hold.Target, now mono.Time) {
	pieces := x.table.Assignments()
	maps.DeleteFunc(x.restoredUntil, func(_ hold.Incarnation, until mono.Time) bool { return !now.Before(until) })
	x.targets, x.rates, x.replanned = targets, g.measurements.keyRates(now, x.name), true
	next, changed := hold.Plan(pieces, targets, x.rates)
	// Released previous owners are removed from the row, so that a later coordinator doesn't send them another release.
	if changed || now.Sub(x.writeStartedAt) >= settledWriteDelay && previousOwnersCleared(x.stored, pieces) {
		x.writeStartedAt = now
		g.write(x, next)
	}
}

// previousOwnersCleared reports whether the row names previous owners and the table no longer does.
func previousOwnersCleared(row, now []hold.Assignment) bool {
	for _, p := range now {
		if p.Previous != (hold.Incarnation{}) {
			return false
		}
	}
	for _, p := range row {
		if p.Previous != (hold.Incarnation{}) {
			return true
		}
	}
	return false
}
