package store_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/store"
)

// memory is a Store that returns the rows of the last transaction.
type memory struct {
	store.Store
	put []store.Row
}

func (m *memory) Commit(_ context.Context, x store.Txn) (store.Rev, error) {
	m.put = x.Put
	return 7, nil
}

func (m *memory) List(context.Context, store.Table) (store.Page, error) {
	return store.Page{Rows: append([]store.Row{}, m.put...), Rev: 7}, nil
}

func (m *memory) Follow(c context.Context, t store.Table, _ store.Rev, _ time.Duration) (store.Page, error) {
	return m.List(c, t)
}

// Guards against values that are read back changed, or that exceed the size limit of the storage service.
func TestLargeValuesArePacked(t *testing.T) {
	m := &memory{}
	s := store.Packed(m)
	small, large, odd := []byte("small"), bytes.Repeat([]byte("ranges of a server "), 20_000), []byte{0, 'x'}
	put := []store.Row{{Key: "small", Value: small}, {Key: "large", Value: large}, {Key: "empty"}, {Key: "odd", Value: odd}}
	rev, err := s.Commit(t.Context(), store.Txn{Put: put})
	require.NoError(t, err)
	require.Equal(t, store.Rev(7), rev)
	require.Equal(t, small, m.put[0].Value)
	require.Less(t, len(m.put[1].Value), len(large)/10)
	require.Equal(t, large, put[1].Value, "the caller's rows must not be modified")

	p, err := s.List(t.Context(), store.Control)
	require.NoError(t, err)
	require.Equal(t, put, p.Rows)
	p, err = s.Follow(t.Context(), store.Control, 0, 0)
	require.NoError(t, err)
	require.Equal(t, put, p.Rows)
	p, err = s.List(t.Context(), store.Servers)
	require.NoError(t, err)
	require.Equal(t, m.put, p.Rows, "rows of other tables must not be unpacked")
}
