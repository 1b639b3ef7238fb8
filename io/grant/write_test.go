package grant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/io/store"
)

// boundedStore rejects values of more than limit bytes.
type boundedStore struct {
	store.Store
	limit int
}

func (s boundedStore) Commit(_ context.Context, x store.Txn) (store.Rev, error) {
	for _, r := range x.Put {
		if len(r.Value) > s.limit {
			return 0, store.ErrNotApplied
		}
	}
	return 1, nil
}

// Guards against an assignment of many servers that is too large for the store, after which no key could move any more.
func TestAssignmentOfManyServersIsWritten(t *testing.T) {
	const servers, ranges, rowLimit = 1600, 3200, 64 << 10
	rng := rand.New(rand.NewPCG(1, 28)) //nolint:gosec // drawn by a seed
	var incarnations []hold.Incarnation
	for range servers {
		incarnations = append(incarnations, hold.Incarnation{
			Server: ident.Server(fmt.Sprintf("i-%010x", rng.Uint64()>>24)), Born: 1_790_000_000_000 + rng.Int64N(60_000),
		})
	}
	var pieces []hold.Assignment
	for i := range ranges {
		p := hold.Assignment{
			Range: hold.Range{First: hold.Key(i * 20), Last: hold.Key(i*20 + 19)}, //nolint:gosec // below 65536
			Owner: incarnations[rng.IntN(servers)],
		}
		if rng.IntN(10) == 0 {
			p.Previous = incarnations[rng.IntN(servers)]
		}
		pieces = append(pieces, p)
	}
	v, err := encodeKeys(pieces, hold.Reservation{Fence: 1 << 40})
	require.NoError(t, err)
	_, err = store.Packed(boundedStore{limit: rowLimit}).Commit(t.Context(), store.Txn{Put: []store.Row{{Key: "keys/x", Value: v}}})
	require.NoError(t, err, "%d bytes", len(v))
}
