package grant

import (
	"context"
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// writeResult is the outcome of a transaction that writes an assignment.
type writeResult struct {
	term        site.Term
	service     ident.Service
	assignments []hold.Assignment
	reservation hold.Reservation
	value       []byte
	rev         store.Rev
	err         error
	rows        []store.Row // control table, read after a transaction with an unknown outcome or a conflict
}

// write starts to write an assignment to the store. It is carried out only once it is written.
//
// A goroutine of its own waits for the store: if the goroutine of run waited, it would renew no grants, and all keys would be
// without an owner two seconds after the store stopped responding.
func (g *Granter) write(x *service, l []hold.Assignment) {
	w := writeResult{term: g.term, service: x.name, assignments: l, reservation: x.table.Reserve(g.o.Clock.Now(), g.rangeCount(x, l))}
	var err error
	if w.value, err = encodeKeys(l, w.reservation); err != nil {
		g.o.Log.Error().Err(err).Str("service", string(x.name)).Msg("assignment not encoded")
		return
	}
	key := feed.KeysRow(x.name)
	t := store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}, {Key: key, Rev: x.rev}},
		Put:    []store.Row{{Key: key, Value: w.value}},
	}
	x.writing = true
	g.group.Go(func(c context.Context) error {
		g.commit(c, t, &w)
		select {
		case g.writeResults <- w:
		case <-c.Done():
		}
		return nil
	})
}

// rangeCount returns how many ranges this coordinator renews once service x has the assignments l.
func (g *Granter) rangeCount(x *service, l []hold.Assignment) int {
	n := len(l)
	for _, y := range g.services {
		if y != x {
			n += len(y.stored)
		}
	}
	return n
}

// commit commits the transaction. After a conflict or an unknown outcome it reads the control table. A transaction whose
// answer was lost may still be applied later: the next one then conflicts, and the rows are read again.
func (g *Granter) commit(c context.Context, t store.Txn, w *writeResult) {
	w.rev, w.err = g.o.Store.Commit(c, t)
	if w.err == nil || errors.Is(w.err, store.ErrNotApplied) {
		return
	}
	p, err := g.o.Store.List(c, store.Control)
	if err != nil {
		g.o.Log.Warn().Err(err).Msg("control table not read after transaction with unknown outcome")
		return
	}
	w.rows = p.Rows
}

// handleWriteResult applies the outcome of a transaction to its service.
func (g *Granter) handleWriteResult(w writeResult) {
	x := g.services[w.service]
	if w.term != g.term || x == nil {
		return
	}
	x.writing = false
	key := feed.KeysRow(w.service)
	if w.err == nil {
		g.o.Feed.ApplyWritten([]store.Row{{Key: key, Value: w.value, Rev: w.rev}})
		if changed := !slices.Equal(x.stored, w.assignments); changed {
			g.o.Log.Info().Str("service", string(w.service)).Int("ranges", len(w.assignments)).Msg("keys assigned")
		}
		x.rev, x.stored, x.fencesReserved = w.rev, w.assignments, true
		x.table.Committed(g.o.Clock.Now(), w.assignments, w.reservation)
		return
	}
	g.o.Log.Warn().Err(w.err).Str("service", string(w.service)).Int("ranges", len(w.assignments)).Int("bytes", len(w.value)).Msg("assignment not written")
	g.o.Feed.ApplyWritten(w.rows)
	for _, r := range w.rows {
		if r.Key == key && r.Rev != x.rev {
			g.o.Log.Info().Str("service", string(w.service)).Bool("own", string(r.Value) == string(w.value)).Msg("assignment read again")
			g.adoptRow(x, r)
		}
	}
}

// adoptRow replaces the state of the service by the row in the store. Grants that this coordinator has sent may still be valid.
func (g *Granter) adoptRow(x *service, r store.Row) {
	if err := proto.Unmarshal(r.Value, &wire.KeysRow{}); err != nil {
		g.o.Log.Error().Err(err).Str("service", string(x.name)).Msg("assignment not decoded")
		return
	}
	now := g.o.Clock.Now()
	g.earlierOrders.SentUntil(now)
	published, was := x.published, x.table
	if y := g.loadService(x.name, now); y != nil {
		y.table.Adopt(now, was)
		y.published, y.replanned = published, true
	}
}
