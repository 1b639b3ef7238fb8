package table_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/table"
)

// BenchmarkStore measures the store and the fake table service together in one process.
func BenchmarkStore(b *testing.B) {
	f, err := fakes.NewTable(fakes.TableOptions{})
	require.NoError(b, err)
	defer f.Close()
	s := table.New(table.Options{
		Endpoint: f.URL(), Region: "eu-west-1", Table: "router", AccessKey: "k", SecretKey: "s", Timeout: 5 * time.Second,
	})
	defer s.Close()
	var l []docs.Change
	for i := range table.MaxChanges {
		l = append(l, docs.Change{Row: ident.Row(fmt.Sprint("shards/", i)), Body: make([]byte, 1024)})
	}
	_, err = s.Commit(b.Context(), "large", 0, "t", l)
	require.NoError(b, err)

	b.Run("head", func(b *testing.B) {
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				if _, err := s.Head(b.Context(), "large"); err != nil {
					b.Error(err)
				}
			}
		})
	})
	b.Run("load-99-rows", func(b *testing.B) {
		for b.Loop() {
			_, err := s.Load(b.Context(), "large")
			require.NoError(b, err)
		}
	})
	var docNumber atomic.Int64
	b.Run("commit", func(b *testing.B) {
		b.RunParallel(func(p *testing.PB) {
			d := ident.Doc(fmt.Sprint("small/", docNumber.Add(1)))
			for r := ident.Rev(0); p.Next(); r++ {
				if _, err := s.Commit(b.Context(), d, r, ident.Txn(fmt.Sprint("t", r)), change("x", "1")); err != nil {
					b.Error(err)
				}
			}
		})
	})
}
