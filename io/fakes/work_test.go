package fakes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
)

// work is one piece of answered work on key k.
func work(id, server string, epoch ident.Epoch, start, end int64) fakes.Work {
	return fakes.Work{
		Server: ident.Server(server), Request: ident.Request(id), Key: "k", Epoch: epoch,
		Start: start, End: end, Outcome: fakes.AnsweredOutcome,
	}
}

func withOutcome(w fakes.Work, o fakes.Outcome) fakes.Work {
	w.Outcome = o
	return w
}

func withoutKey(w fakes.Work) fakes.Work {
	w.Key = ""
	return w
}

func TestOneOwner(t *testing.T) {
	tests := []struct {
		name     string
		log      []fakes.Work
		findings int
	}{
		{"moved", []fakes.Work{work("1", "s/a", 1, 0, 10), work("2", "s/b", 1, 10, 20)}, 0},
		{"overlap", []fakes.Work{work("1", "s/a", 1, 0, 10), work("2", "s/b", 1, 9, 20)}, 1},
		{"overlap given in another order", []fakes.Work{work("2", "s/b", 1, 9, 20), work("1", "s/a", 1, 0, 10)}, 1},
		{"overlap with earlier long work", []fakes.Work{
			work("1", "s/a", 1, 0, 100), work("2", "s/a", 1, 1, 2), work("3", "s/b", 1, 50, 60),
		}, 1},
		{"overlap with work that runs", []fakes.Work{
			withOutcome(work("1", "s/a", 1, 0, 0), fakes.RunningOutcome),
			work("2", "s/b", 1, 50, 60),
		}, 1},
		{"refused work counts for nothing", []fakes.Work{
			work("1", "s/a", 1, 0, 10),
			withOutcome(work("2", "s/b", 1, 5, 6), fakes.NotRunOutcome),
		}, 0},
		{"cancelled work counts", []fakes.Work{
			work("1", "s/a", 1, 0, 10),
			withOutcome(work("2", "s/b", 1, 5, 6), fakes.CancelledOutcome),
		}, 1},
		{"another service's key", []fakes.Work{work("1", "s/a", 1, 0, 10), work("2", "t/b", 1, 5, 20)}, 0},
		{"no key", []fakes.Work{
			withoutKey(work("1", "s/a", 0, 0, 10)),
			withoutKey(work("2", "s/b", 0, 5, 20)),
		}, 0},
		{"older epoch after a newer", []fakes.Work{work("1", "s/a", 2, 0, 10), work("2", "s/a", 1, 20, 30)}, 1},
		{"older epoch ends under a newer", []fakes.Work{work("1", "s/a", 1, 0, 10), work("2", "s/a", 2, 5, 30)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fakes.OneOwner(tt.log)
			require.Len(t, f, tt.findings, "%v", f)
			for _, x := range f {
				require.NotEmpty(t, x.Place.File, "a finding names the server")
			}
		})
	}
}

func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		name     string
		log      []fakes.Work
		findings int
	}{
		{"once each", []fakes.Work{work("1", "s/a", 1, 0, 10), work("2", "s/a", 1, 0, 10)}, 0},
		{"twice on one server", []fakes.Work{work("1", "s/a", 1, 0, 10), work("1", "s/a", 1, 20, 30)}, 1},
		{"twice on two servers", []fakes.Work{work("1", "s/a", 1, 0, 10), work("1", "s/b", 1, 20, 30)}, 1},
		{"refused, then run", []fakes.Work{
			withOutcome(work("1", "s/a", 1, 0, 1), fakes.NotRunOutcome),
			work("1", "s/b", 1, 20, 30),
		}, 0},
		{"failed, then run", []fakes.Work{
			withOutcome(work("1", "s/a", 1, 0, 1), fakes.FailedOutcome),
			work("1", "s/b", 1, 20, 30),
		}, 1},
		{"same id of another service", []fakes.Work{work("1", "s/a", 1, 0, 10), work("1", "t/a", 1, 0, 10)}, 0},
		{"no id", []fakes.Work{work("", "s/a", 1, 0, 10), work("", "s/a", 1, 20, 30)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fakes.AtMostOnce(tt.log)
			require.Len(t, f, tt.findings, "%v", f)
		})
	}
}
