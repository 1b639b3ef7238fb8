package table_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/table"
)

const doc ident.Doc = "part/rooster"

// newFake starts a fake table service with 3 rows a page, so that loads need several pages.
func newFake(t *testing.T) *fakes.Table {
	f, err := fakes.NewTable(fakes.TableOptions{PageRows: 3})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func newStore(t *testing.T, url string, timeout time.Duration) *table.Store {
	s := table.New(table.Options{
		Endpoint: url, Region: "eu-west-1", Table: "router", AccessKey: "k", SecretKey: "s", Timeout: timeout,
	})
	t.Cleanup(s.Close)
	return s
}

func change(row, body string) []docs.Change {
	return []docs.Change{{Row: ident.Row(row), Body: []byte(body)}}
}

func setFaults(t *testing.T, f *fakes.Table, x fakes.Faults) {
	require.NoError(t, f.SetFaults(x))
}

func TestCommitAndLoad(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), time.Second)
	ctx := t.Context()

	d, err := s.Load(ctx, doc)
	require.NoError(t, err)
	require.Equal(t, docs.New(doc), d)

	var l []docs.Change
	for i := range 10 {
		l = append(l, docs.Change{Row: ident.Row(fmt.Sprint("server/", i)), Body: []byte{byte(i)}})
	}
	r, err := s.Commit(ctx, doc, 0, "t1", l)
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), r)
	r, err = s.Commit(ctx, doc, 1, "t2", []docs.Change{{Row: "server/3"}, {Row: "witnesses", Body: []byte("w")}})
	require.NoError(t, err)
	require.Equal(t, ident.Rev(2), r)

	d, err = newStore(t, f.URL(), time.Second).Load(ctx, doc)
	require.NoError(t, err)
	require.Equal(t, ident.Rev(2), d.Rev)
	require.Len(t, d.Rows, 11, "the head is not a row of the document")
	require.Equal(t, docs.Row{Rev: 1, Body: []byte{4}}, d.Rows["server/4"])
	require.Equal(t, ident.Rev(2), d.Rows["server/3"].Rev, "a removed row is kept so that deltas include it")
	require.Empty(t, d.Rows["server/3"].Body)
	require.Len(t, d.Names("server/"), 9)
	h, err := s.Head(ctx, doc)
	require.NoError(t, err)
	require.Equal(t, ident.Rev(2), h)
}

func TestCommitRejectsInvalidInput(t *testing.T) {
	s := newStore(t, "http://127.0.0.1:1", time.Second)
	many := make([]docs.Change, table.MaxChanges+1)
	var tooMany *table.TooManyError
	tests := []struct {
		name    string
		txn     ident.Txn
		changes []docs.Change
		tooMany bool
	}{
		{"too many", "t", many, true},
		{"no id", "", change("a", "1"), false},
		{"the head", "t", change("head", "1"), false},
		{"no row", "t", change("", "1"), false},
		{"twice", "t", append(change("a", "1"), change("a", "2")...), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := s.Commit(t.Context(), doc, 0, tt.txn, tt.changes)
			require.Error(t, err)
			require.Equal(t, tt.tooMany, errors.As(err, &tooMany))
		})
	}
}

// A transaction may have 99 changes: with the head these are 100 items.
func TestCommitWithMaxChanges(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), time.Second)
	l := make([]docs.Change, table.MaxChanges)
	for i := range l {
		l[i] = docs.Change{Row: ident.Row(fmt.Sprintf("row/%02d", i)), Body: []byte("x")}
	}
	_, err := s.Commit(t.Context(), doc, 0, "t1", l)
	require.NoError(t, err)
}

func TestConflict(t *testing.T) {
	f := newFake(t)
	a, b := newStore(t, f.URL(), time.Second), newStore(t, f.URL(), time.Second)
	_, err := a.Commit(t.Context(), doc, 0, "a1", change("x", "a"))
	require.NoError(t, err)
	_, err = a.Commit(t.Context(), doc, 1, "a2", change("x", "a"))
	require.NoError(t, err)
	var c *table.ConflictError
	for _, from := range []ident.Rev{0, 1, 7} {
		_, err = b.Commit(t.Context(), doc, from, "b1", change("x", "b"))
		require.ErrorAs(t, err, &c, "from %d", from)
		require.Equal(t, ident.Rev(2), c.Found)
	}
}

// Guards against two transactions writing the same revision. Eight committers race for each revision of one document;
// each gets its own revision or a conflict, because the condition on the head is checked with the write. The row
// then has the value of the last successful transaction.
func TestConcurrentCommits(t *testing.T) {
	f := newFake(t)
	const committers, rounds = 8, 20
	var mu sync.Mutex
	winners := map[ident.Rev][]ident.Txn{}
	var wg sync.WaitGroup
	for i := range committers {
		s := newStore(t, f.URL(), 5*time.Second)
		wg.Go(func() {
			for n := range rounds {
				txn := ident.Txn(fmt.Sprintf("c%d-%d", i, n))
				for {
					from, err := s.Head(t.Context(), doc)
					if err != nil {
						t.Error(err)
						return
					}
					r, err := s.Commit(t.Context(), doc, from, txn, change("x", string(txn)))
					var c *table.ConflictError
					if errors.As(err, &c) {
						continue
					}
					if err != nil {
						t.Error(err)
						return
					}
					mu.Lock()
					winners[r] = append(winners[r], txn)
					mu.Unlock()
					break
				}
			}
		})
	}
	wg.Wait()
	require.Len(t, winners, committers*rounds)
	for r, l := range winners {
		require.Len(t, l, 1, "revision %d", r)
	}
	d, err := newStore(t, f.URL(), time.Second).Load(t.Context(), doc)
	require.NoError(t, err)
	require.Equal(t, ident.Rev(committers*rounds), d.Rev)
	require.Equal(t, string(winners[d.Rev][0]), string(d.Body("x")))
}

func TestLoadWhileCommitting(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 5*time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		w := newStore(t, f.URL(), 5*time.Second)
		for r := ident.Rev(0); ctx.Err() == nil; r++ {
			b := fmt.Sprint(r + 1)
			_, err := w.Commit(t.Context(), doc, r, ident.Txn("t"+b), append(change("a", b), change("z", b)...))
			if err != nil {
				t.Error(err)
			}
			time.Sleep(3 * time.Millisecond)
		}
	})
	for range 50 {
		d, err := s.Load(ctx, doc)
		var u *table.UnavailableError
		if errors.As(err, &u) {
			continue
		}
		require.NoError(t, err)
		require.Equal(t, d.Body("a"), d.Body("z"), "loaded part of a transaction")
		if d.Rev > 0 {
			require.Equal(t, fmt.Sprint(d.Rev), string(d.Body("a")))
		}
	}
	cancel()
	wg.Wait()
}
