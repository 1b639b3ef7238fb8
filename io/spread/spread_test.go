package spread_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/peer"
	"heatherrouter/io/spread"
	"heatherrouter/io/table"
	"heatherrouter/io/wire"
)

// net joins stores of one process; calls are function calls.
type net struct {
	stores map[ident.Daemon]*spread.Store
	names  []ident.Daemon
	calls  atomic.Int64
}

// Call implements spread.Caller.
func (n *net) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	n.calls.Add(1)
	s := n.stores[to]
	switch b := m.GetBody().(type) {
	case *wire.Call_Notice:
		s.Noticed(c, "", b.Notice)
		return &wire.Reply{Body: &wire.Reply_Ack{Ack: &wire.Empty{}}}, nil
	case *wire.Call_Pull:
		if d := s.Pulled(b.Pull); d != nil {
			return &wire.Reply{Body: &wire.Reply_Delta{Delta: d}}, nil
		}
	}
	return nil, &peer.Error{Err: io.EOF}
}

// end is the net as one daemon sees it: its notices name it.
type end struct {
	*net
	self ident.Daemon
}

// Call implements spread.Caller.
func (e end) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	if b, ok := m.GetBody().(*wire.Call_Notice); ok {
		e.calls.Add(1)
		e.stores[to].Noticed(c, e.self, b.Notice)
		return &wire.Reply{Body: &wire.Reply_Ack{Ack: &wire.Empty{}}}, nil
	}
	return e.net.Call(c, to, m)
}

// Random implements spread.Peers.
func (e end) Random(k int) []ident.Daemon {
	var l []ident.Daemon
	for _, i := range rand.Perm(len(e.names))[:min(k+1, len(e.names))] {
		if e.names[i] != e.self && len(l) < k {
			l = append(l, e.names[i])
		}
	}
	return l
}

// rows is a table that takes every commit of the next revision.
type rows struct{ rev ident.Rev }

func (r *rows) Load(_ context.Context, d ident.Doc) (*docs.Doc, error) { return docs.New(d), nil }
func (r *rows) Head(context.Context, ident.Doc) (ident.Rev, error)     { return r.rev, nil }

func (r *rows) Commit(_ context.Context, d ident.Doc, from ident.Rev, _ ident.Txn, _ []docs.Change) (ident.Rev, error) {
	if from != r.rev {
		return 0, &table.ConflictError{Doc: d, From: from, Found: r.rev}
	}
	r.rev++
	return r.rev, nil
}

func newNet(n int) *net {
	x := &net{stores: map[ident.Daemon]*spread.Store{}}
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	t := &rows{}
	for i := range n {
		d := ident.Daemon(fmt.Sprintf("h%04d", i))
		e := end{net: x, self: d}
		x.names = append(x.names, d)
		x.stores[d] = spread.New(t, e, func() spread.Peers { return e }, quiet)
	}
	return x
}

func (n *net) behind(d ident.Doc, r ident.Rev) []ident.Daemon {
	var l []ident.Daemon
	for _, name := range n.names {
		if x := n.stores[name].Get(d); x == nil || x.Rev < r {
			l = append(l, name)
		}
	}
	return l
}

// A revision is committed at one daemon and its notices miss some others. One comparison with any daemon that has it
// brings each of them up, so nobody stays behind for longer than it takes to be probed by one.
func TestEverybodyLearns(t *testing.T) {
	n := newNet(30)
	_, err := n.stores["h0000"].Commit(t.Context(), "config", 0, "t1", []docs.Change{{Row: "a", Body: []byte("1")}})
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	for _, d := range n.behind("config", 1) {
		n.stores[d].Reconcile(t.Context(), "h0000", n.stores["h0000"].Revs())
	}
	require.Empty(t, n.behind("config", 1))
}

// Two operators commit from one revision at two daemons. The second one's commit is refused and leaves no trace in
// any copy, and a late delta of the older revision changes nothing.
func TestConflictLeavesNoTrace(t *testing.T) {
	n := newNet(3)
	_, err := n.stores["h0000"].Commit(t.Context(), "config", 0, "t1", []docs.Change{{Row: "a", Body: []byte("1")}})
	require.NoError(t, err)
	_, err = n.stores["h0001"].Commit(t.Context(), "config", 0, "t2", []docs.Change{{Row: "a", Body: []byte("2")}})
	var conflict *table.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Eventually(t, func() bool { return len(n.behind("config", 1)) == 0 }, time.Second, time.Millisecond)
	for _, s := range n.stores {
		require.Equal(t, "1", string(s.Get("config").Body("a")))
		require.False(t, s.Apply(docs.Delta{Name: "config", Rev: 1, Rows: map[ident.Row]docs.Row{"a": {Rev: 1, Body: []byte("2")}}}))
		require.True(t, s.TableOK(), "a conflict is no outage")
	}
}

// BenchmarkSlopeSpread measures the messages of one revision by the number of daemons, and whom the notices miss.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, k := range []int{12, 48, 192, 820} {
		b.Run(fmt.Sprintf("daemons=%d", k), func(b *testing.B) {
			n := newNet(k)
			missed := 0
			r := ident.Rev(0)
			for b.Loop() {
				from := n.stores[n.names[rand.IntN(k)]]
				if len(n.behind("config", r)) > 0 {
					from = n.stores[n.newest("config", r)]
				}
				next, err := from.Commit(context.Background(), "config", r, "t", []docs.Change{{Row: "a", Body: []byte("1")}})
				require.NoError(b, err)
				r = next
				n.settle()
				missed += len(n.behind("config", r))
			}
			b.ReportMetric(float64(n.calls.Load())/float64(b.N)/float64(k), "calls/daemon")
			b.ReportMetric(float64(missed)/float64(b.N)/float64(k)*100, "%missed")
		})
	}
}

// newest returns a daemon that holds the revision.
func (n *net) newest(d ident.Doc, r ident.Rev) ident.Daemon {
	for _, name := range n.names {
		if x := n.stores[name].Get(d); x != nil && x.Rev == r {
			return name
		}
	}
	return n.names[0]
}

// settle waits until no calls have been made for a while.
func (n *net) settle() {
	for last := int64(-1); last != n.calls.Load(); {
		last = n.calls.Load()
		time.Sleep(5 * time.Millisecond)
	}
}
