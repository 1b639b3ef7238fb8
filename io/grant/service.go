package grant

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// service is the assignment of one service's keys in the present term.
type service struct {
	name      ident.Service
	table     *hold.Table
	rev       store.Rev    // of its row; 0 while there is none
	written   []hold.Piece // as the row has them
	reserved  bool         // fences above those of earlier terms are reserved
	writing   bool         // a transaction is under way
	wrote     mono.Time    // when the last one was begun
	first     mono.Time    // when servers were first seen for a service without a row
	servers   int
	since     mono.Time   // when their number last changed
	holds     []hold.Hold // as the table had them when they were last published
	published []hold.Hold
	planned   bool          // since they were last published
	targets   []hold.Target // as last planned with
	rates     hold.Rates
}

// open reads the assignment as the store has it.
func (g *Granter) open(n ident.Service, now mono.Time) *service {
	x := &service{name: n}
	row, ok := g.o.Feed.Row(feed.KeysRow(n))
	w := &wire.KeysRow{}
	if ok {
		if err := proto.Unmarshal(row.Value, w); err != nil {
			g.o.Log.Error().Err(err).Str("service", string(n)).Msg("assignment can't be read, its keys stay where they are")
			return nil
		}
		x.rev = row.Rev
	}
	for _, p := range w.GetPieces() {
		x.written = append(x.written, hold.Piece{
			Range:    hold.Range{First: hold.Key(p.GetFirst()), Last: hold.Key(p.GetLast())}, //nolint:gosec // keys as encoded
			Owner:    hold.Life{Server: ident.Server(p.GetServer()), Born: p.GetBorn()},
			Previous: hold.Life{Server: ident.Server(p.GetPrevious()), Born: p.GetPreviousBorn()},
		})
	}
	r := hold.Reserved{
		Fence: hold.Fence(w.GetFence()),
		Hold:  max(g.o.Terms.Hold, time.Duration(w.GetHoldMs())*time.Millisecond), //nolint:gosec // below an hour
	}
	x.table = hold.New(now, g.o.Terms, x.written, r, g.orderedUntil.Add(g.o.Terms.Lapse(r.Hold)))
	g.services[n] = x
	return x
}

func encodeKeys(l []hold.Piece, r hold.Reserved) ([]byte, error) {
	w := &wire.KeysRow{Fence: uint64(r.Fence), HoldMs: uint64(r.Hold.Milliseconds())} //nolint:gosec // never negative
	for _, p := range l {
		w.Pieces = append(w.Pieces, &wire.KeysPiece{
			First: uint32(p.First), Last: uint32(p.Last), Server: string(p.Owner.Server), Born: p.Owner.Born,
			Previous: string(p.Previous.Server), PreviousBorn: p.Previous.Born,
		})
	}
	return proto.Marshal(w)
}

// settledAfter is for how long ranges whose last holders are free are left as written. While keys move, the next change of
// ranges says so as well.
const settledAfter = 3 * time.Second

// keep plans, writes and carries out; it returns when to look again.
func (g *Granter) keep(s *site.Snapshot, x *service, due bool) mono.Time {
	now := g.o.Clock.Now()
	x.table.Reborn(now, func(id ident.Server) (int64, bool) {
		y := s.Servers[id]
		if y == nil || y.Service != x.name {
			return 0, false
		}
		return y.Born, true
	})
	if x.rev == 0 && !x.settled(now, len(g.targets(s, x, now))) {
		return now.Add(settle)
	}
	if !x.writing && (due || g.mustMove(s, x)) {
		g.plan(x, g.targets(s, x, now), now)
	}
	if x.rev == 0 {
		return now.Add(planEvery)
	}
	if !x.reserved || !x.table.HasFences() {
		if !x.writing {
			g.write(x, x.table.Pieces())
		}
		return now.Add(lookEvery)
	}
	orders, next := x.table.Orders(g.o.Clock.Now())
	for _, o := range orders {
		g.send(x.name, o)
	}
	return next
}

// admitted returns the holds with the share of the requests to send for each; it reports whether they have changed.
func (x *service) admitted() bool {
	l := x.table.Holds()
	if !x.planned && slices.Equal(l, x.holds) {
		return false
	}
	x.holds, x.planned = l, false
	was := x.published
	x.published = hold.Admit(l, x.targets, x.rates)
	return !slices.Equal(was, x.published)
}

// settled reports whether the servers of a service without an assignment are all there, as far as can be told.
func (x *service) settled(now mono.Time, servers int) bool {
	if servers == 0 {
		return false
	}
	if x.first == 0 {
		x.first = now
	}
	if servers != x.servers {
		x.servers, x.since = servers, now
	}
	return now.Sub(x.since) >= settle || now.Sub(x.first) >= settleMost
}

// mustMove reports whether some keys are with a server that may not have them.
func (g *Granter) mustMove(s *site.Snapshot, x *service) bool {
	for _, p := range x.table.Pieces() {
		o := s.Servers[p.Owner.Server]
		if (o == nil || !s.Accepts(o) || x.table.HasEnded(p.Owner)) && p.Previous == (hold.Life{}) {
			return true
		}
	}
	return false
}

// targets returns the servers that may hold keys. One that has ended is announced for seconds more.
func (g *Granter) targets(s *site.Snapshot, v *service, now mono.Time) []hold.Target {
	var l []hold.Target
	for _, x := range s.ServersOf(v.name) {
		life := hold.Life{Server: x.ID, Born: x.Born}
		if s.Accepts(x) && !v.table.HasEnded(life) {
			l = append(l, hold.Target{
				Life: life, Cold: now.Before(x.ColdUntil), Slots: x.Slots, Work: g.rates.work(now, v.name, x.ID),
			})
		}
	}
	return l
}

// plan works out the next assignment and has it written.
func (g *Granter) plan(x *service, targets []hold.Target, now mono.Time) {
	pieces := x.table.Pieces()
	x.targets, x.rates, x.planned = targets, g.rates.of(now, x.name), true
	next, changed := hold.Plan(pieces, targets, x.rates)
	// Ranges whose last holder is surely free are written down so, for a coordinator to come that would ask it again.
	if changed || now.Sub(x.wrote) >= settledAfter && settledRow(x.written, pieces) {
		x.wrote = now
		g.write(x, next)
	}
}

// settledRow reports whether the row names previous holders and the table no longer does.
func settledRow(row, now []hold.Piece) bool {
	for _, p := range now {
		if p.Previous != (hold.Life{}) {
			return false
		}
	}
	for _, p := range row {
		if p.Previous != (hold.Life{}) {
			return true
		}
	}
	return false
}
