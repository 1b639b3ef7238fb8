package table_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/table"
)

const seedVar = "HEATHERROUTER_SEED"

// testSeed returns and logs the seed of a random test: from the environment if set, otherwise from the clock.
func testSeed(t *testing.T) uint64 {
	s := uint64(time.Now().UnixNano())
	if v := os.Getenv(seedVar); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		require.NoError(t, err)
		s = n
	}
	t.Logf("seed: %s=%d", seedVar, s)
	return s
}

// outcome is the final result of one transaction for its caller.
type outcome struct {
	rev ident.Rev // when written
	err error
}

// Guards against wrong outcomes of transactions while the service fails.
// Five committers race on one document while the service loses responses, delays writes, hangs, fails and refuses
// connections. Written transactions must be in the table at their revision. Those with a conflict or an unavailable
// service must never be there, even after all delayed writes. Unknown outcomes are retried until they are certain.
func TestReportedOutcomesMatchTable(t *testing.T) {
	const committers, each = 5, 40
	seed := testSeed(t)
	f := newFake(t)
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(f, rand.New(rand.NewPCG(seed, 99)), stop) })

	var mu sync.Mutex
	all := map[ident.Txn]outcome{}
	var wg sync.WaitGroup
	for i := range committers {
		s := newStore(t, f.URL(), 40*time.Millisecond)
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := range each {
				txn := ident.Txn(fmt.Sprintf("c%d-%d", i, n))
				x := commitUntilSettled(t, s, txn, r)
				mu.Lock()
				all[txn] = x
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	require.NoError(t, f.SetFaults(fakes.Faults{}))
	time.Sleep(longestDelay + 50*time.Millisecond)
	requireOutcomesMatch(t, f, all)
}

const longestDelay = 200 * time.Millisecond

func injectFaults(f *fakes.Table, r *rand.Rand, stop <-chan struct{}) {
	outages := []fakes.Outage{fakes.UpOutage, fakes.UpOutage, fakes.UpOutage, fakes.HangOutage, fakes.ErrorOutage, fakes.RefuseOutage}
	for {
		x := fakes.Faults{
			LatencyMS: r.IntN(5), LoseReplies: r.IntN(3), LoseSilently: r.IntN(2) == 0,
			DelayWrites: r.IntN(3), DelayMS: r.IntN(int(longestDelay / time.Millisecond)),
			Outage: outages[r.IntN(len(outages))],
		}
		_ = f.SetFaults(x)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+r.IntN(60)) * time.Millisecond):
		}
	}
}

// commitUntilSettled commits after the current revision and repeats the call while the outcome is unknown.
func commitUntilSettled(t *testing.T, s *table.Store, txn ident.Txn, r *rand.Rand) outcome {
	var from ident.Rev
	for {
		var err error
		if from, err = s.Head(t.Context(), doc); err == nil {
			break
		}
		time.Sleep(time.Duration(1+r.IntN(10)) * time.Millisecond)
	}
	for {
		rev, err := s.Commit(t.Context(), doc, from, txn, change("own/"+string(txn), string(txn)))
		var u *table.UnknownError
		if !errors.As(err, &u) {
			return outcome{rev, err}
		}
		time.Sleep(time.Duration(1+r.IntN(10)) * time.Millisecond)
	}
}

// requireOutcomesMatch requires that the table matches the reported outcomes.
func requireOutcomesMatch(t *testing.T, f *fakes.Table, all map[ident.Txn]outcome) {
	d, err := newStore(t, f.URL(), 5*time.Second).Load(t.Context(), doc)
	require.NoError(t, err)
	count := map[string]int{}
	for txn, x := range all {
		row := d.Rows[ident.Row("own/"+string(txn))]
		var conflict *table.ConflictError
		var unavailable *table.UnavailableError
		switch {
		case x.err == nil:
			count["written"]++
			require.Equal(t, x.rev, row.Rev, "%s was reported as written", txn)
		case errors.As(x.err, &conflict):
			count["conflict"]++
			require.Zero(t, row.Rev, "%s was reported as a conflict", txn)
		case errors.As(x.err, &unavailable):
			count["unavailable"]++
			require.Zero(t, row.Rev, "%s was reported as not written", txn)
		default:
			t.Fatalf("%s: %v", txn, x.err)
		}
	}
	t.Log(count)
	require.Equal(t, int(d.Rev), count["written"], "every revision has its transaction")
	require.Len(t, d.Names("own/"), count["written"])
}
