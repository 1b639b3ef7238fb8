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

// written is the end of a transaction with an assignment.
type written struct {
	term     site.Term
	service  ident.Service
	pieces   []hold.Piece
	reserved hold.Reserved
	value    []byte
	rev      store.Rev
	err      error
	rows     []store.Row // of the control table, read after an end that tells nothing
}

// write writes an assignment; only what is written is carried out.
//
// It waits for the store on a goroutine of its own: the duty that waited itself would renew no grant meanwhile, and all
// keys would be nobody's two seconds after the store fell silent.
func (g *Granter) write(x *service, l []hold.Piece) {
	w := written{term: g.term, service: x.name, pieces: l, reserved: x.table.Reserve(g.o.Clock.Now(), g.ranges(x, l))}
	var err error
	if w.value, err = encodeKeys(l, w.reserved); err != nil {
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
		g.transact(c, t, &w)
		select {
		case g.written <- w:
		case <-c.Done():
		}
		return nil
	})
}

// ranges returns how many ranges this coordinator renews once a service has these.
func (g *Granter) ranges(x *service, l []hold.Piece) int {
	n := len(l)
	for _, y := range g.services {
		if y != x {
			n += len(y.written)
		}
	}
	return n
}

// transact makes the transaction. After one whose end isn't known, or that met another's, it reads what the store has. One
// whose answer was lost may still be carried out later: then the next conflicts, and the rows are read again.
func (g *Granter) transact(c context.Context, t store.Txn, w *written) {
	w.rev, w.err = g.o.Store.Commit(c, t)
	if w.err == nil || errors.Is(w.err, store.ErrNotDone) {
		return
	}
	p, err := g.o.Store.List(c, store.Control)
	if err != nil {
		g.o.Log.Warn().Err(err).Msg("store not read after a transaction of unknown end")
		return
	}
	w.rows = p.Rows
}

// takeWritten takes in the end of a transaction.
func (g *Granter) takeWritten(w written) {
	x := g.services[w.service]
	if w.term != g.term || x == nil {
		return
	}
	x.writing = false
	key := feed.KeysRow(w.service)
	if w.err == nil {
		g.o.Feed.ApplyWritten([]store.Row{{Key: key, Value: w.value, Rev: w.rev}})
		if changed := !slices.Equal(x.written, w.pieces); changed {
			g.o.Log.Info().Str("service", string(w.service)).Int("ranges", len(w.pieces)).Msg("keys assigned")
		}
		x.rev, x.written, x.reserved = w.rev, w.pieces, true
		x.table.Committed(g.o.Clock.Now(), w.pieces, w.reserved)
		return
	}
	g.o.Log.Warn().Err(w.err).Str("service", string(w.service)).Int("ranges", len(w.pieces)).Int("bytes", len(w.value)).Msg("assignment not written")
	g.o.Feed.ApplyWritten(w.rows)
	for _, r := range w.rows {
		if r.Key == key && r.Rev != x.rev {
			g.o.Log.Info().Str("service", string(w.service)).Bool("own", string(r.Value) == string(w.value)).Msg("assignment read again")
			g.adopt(x, r)
		}
	}
}

// adopt goes on from what the store has. All that this coordinator has sent may still hold.
func (g *Granter) adopt(x *service, r store.Row) {
	if err := proto.Unmarshal(r.Value, &wire.KeysRow{}); err != nil {
		g.o.Log.Error().Err(err).Str("service", string(x.name)).Msg("assignment can't be read")
		return
	}
	now := g.o.Clock.Now()
	g.orderedUntil = max(g.orderedUntil, now)
	published := x.published
	if y := g.open(x.name, now); y != nil {
		y.published, y.planned = published, true
	}
}
