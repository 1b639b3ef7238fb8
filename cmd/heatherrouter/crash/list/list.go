// Package list is the command "crash list".
package list

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/guard"
)

// Options of the command.
type Options struct {
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `A request is named by its fingerprint. Search for it in the daemons' logs to find the route, the key and request ids.

Examples:

    heatherrouter crash list --admin 10.1.0.15:7621
    heatherrouter crash list --admin 10.1.0.15:7621 --json fingerprint,crashes,refused`
}

// daemonState is the part of a daemon's state page that is read.
type daemonState struct {
	Crashes []guard.State `json:"crashes"`
}

// Run lists the requests under which backend servers crashed.
func (o *Options) Run(e *cli.Env) error {
	l, err := cli.ReadStates[daemonState](e)
	if err != nil {
		return trace.Wrap(err)
	}
	records := merge(l)
	if o.Wanted() {
		return o.Print(e, records)
	}
	t := cli.NewTable("FINGERPRINT", "CRASHES", "REFUSED")
	for _, x := range records {
		t.Add(x.Fingerprint, x.Crashes, x.Refused)
	}
	return t.Print(e)
}

// merge returns the records of all daemons, those of most crashes first. A daemon's copy may be behind that of another.
func merge(states []daemonState) []guard.State {
	byName := map[string]guard.State{}
	for _, s := range states {
		for _, x := range s.Crashes {
			if y, ok := byName[x.Fingerprint]; !ok || y.Crashes < x.Crashes {
				byName[x.Fingerprint] = x
			}
		}
	}
	l := slices.AppendSeq([]guard.State{}, maps.Values(byName)) // not nil, which JSON would show as null
	slices.SortFunc(l, func(a, b guard.State) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return l
}
