// Package findings is the command "config findings".
package findings

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Options of the command.
type Options struct {
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Lists the entries of the configuration in force that the daemons don't know or whose requests they refuse, and the errors of ` +
		`configurations that are not in force (rejected).

Examples:

    heatherrouter config findings --admin 10.1.0.15:7621
    heatherrouter config findings --admin 10.1.0.15:7621 --json configuration,rejected,finding,daemons`
}

// daemonState is the part of a daemon's state page that is read.
type daemonState struct {
	Daemon   ident.Daemon `json:"daemon"`
	Version  site.Version `json:"configuration"`
	Findings []string     `json:"config-findings"`
	Rejected string       `json:"config-rejected"`
}

// finding is a finding that some daemons have.
type finding struct {
	Version  site.Version   `json:"configuration"` // in force at the daemons; 0 for none
	Rejected bool           `json:"rejected"`      // the finding is the error of a configuration that isn't in force
	Text     string         `json:"finding"`
	Daemons  []ident.Daemon `json:"daemons"`
}

// key identifies a finding over all daemons.
type key struct {
	version  site.Version
	rejected bool
	text     string
}

// Run lists the findings of all daemons.
func (o *Options) Run(e *cli.Env) error {
	states, err := cli.ReadStates[daemonState](e)
	if err != nil {
		return trace.Wrap(err)
	}
	l := merge(states)
	if o.Wanted() {
		return o.Print(e, l)
	}
	t := cli.NewTable("CONFIGURATION", "REJECTED", "FINDING", "DAEMONS")
	for _, x := range l {
		t.Add(x.Version, x.Rejected, x.Text, cli.Join(x.Daemons))
	}
	return t.Print(e)
}

// merge returns the findings of all daemons, each once with the daemons that have it: rejected configurations first, then those of the
// newest version, in the order of the daemons' lists.
func merge(states []daemonState) []finding {
	l := []finding{} // not nil, which JSON would show as null
	index := map[key]int{}
	add := func(d ident.Daemon, k key) {
		i, ok := index[k]
		if !ok {
			i, l = len(l), append(l, finding{Version: k.version, Rejected: k.rejected, Text: k.text})
			index[k] = i
		}
		if !slices.Contains(l[i].Daemons, d) {
			l[i].Daemons = append(l[i].Daemons, d)
		}
	}
	for _, s := range states {
		if s.Rejected != "" {
			add(s.Daemon, key{version: s.Version, rejected: true, text: s.Rejected})
		}
		for _, t := range s.Findings {
			add(s.Daemon, key{version: s.Version, text: t})
		}
	}
	slices.SortStableFunc(l, func(a, b finding) int {
		return cmp.Or(order(a)-order(b), cmp.Compare(b.Version, a.Version))
	})
	for _, x := range l {
		slices.Sort(x.Daemons)
	}
	return l
}

// order returns the position of the kind of finding in the list.
func order(x finding) int {
	if x.Rejected {
		return 0
	}
	return 1
}
