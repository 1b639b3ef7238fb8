// Package load is the command "service load".
package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/io/send"
)

// Options of the command.
type Options struct {
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Lists the services whose servers have too little capacity for all requests, since when, and which requests were refused since, by
the queried daemons together. SHARE is the share of the requests that is sent; of a service with keys, that for the busiest of them.
It is empty where daemons refuse requests because the servers they know are full.

Examples:

    heatherrouter service load --admin 10.1.0.15:7621 --admin 10.1.0.16:7621
    heatherrouter service load --admin 10.1.0.15:7621 --json service,since,share,refused`
}

// daemonState is the part of a daemon's state page that is read.
type daemonState struct {
	Shares []send.ShareState `json:"shares"`
}

// Run lists the services that are short of capacity.
func (o *Options) Run(e *cli.Env) error {
	l, err := cli.ReadStates[daemonState](e)
	if err != nil {
		return trace.Wrap(err)
	}
	services := merge(l)
	if o.Wanted() {
		return o.Print(e, services)
	}
	t := cli.NewTable("SERVICE", "SINCE", "SHARE", "ROUTE", "PRIORITY", "ORGANISATION", "REASON", "REFUSED")
	for _, x := range services {
		share := any("")
		if x.Share > 0 {
			share = math.Round(100*x.Share) / 100
		}
		for _, c := range x.Classes {
			t.Add(string(x.Service), x.Since.UTC().Format(time.RFC3339), share, c.Route, c.Priority, string(c.Organisation), c.Reason, c.Refused)
		}
	}
	return t.Print(e)
}

// merge returns the shortages of all daemons together, by service.
func merge(states []daemonState) []send.ShareState {
	byName := map[ident.Service]send.ShareState{}
	for _, s := range states {
		for _, x := range s.Shares {
			if y, ok := byName[x.Service]; ok {
				x = combine(x, y)
			}
			byName[x.Service] = x
		}
	}
	l := slices.AppendSeq([]send.ShareState{}, maps.Values(byName)) // not nil, which JSON would show as null
	slices.SortFunc(l, func(a, b send.ShareState) int { return cmp.Compare(a.Service, b.Service) })
	return l
}

// combine adds up what two daemons have counted.
func combine(x, y send.ShareState) send.ShareState {
	if y.Since.Before(x.Since) {
		x.Since = y.Since
	}
	if x.Share == 0 || y.Share > 0 && y.Share < x.Share {
		x.Share = y.Share
	}
	if len(x.Demand) == 0 {
		x.Demand = y.Demand
	}
	x.Sent, x.Refused = sum(x.Sent, y.Sent), sum(x.Refused, y.Refused)
	x.Classes = slices.Clone(x.Classes)
	for _, c := range y.Classes {
		i := slices.IndexFunc(x.Classes, func(d send.RefusedClass) bool {
			d.Refused = c.Refused
			return d == c
		})
		if i < 0 {
			x.Classes = append(x.Classes, c)
			continue
		}
		x.Classes[i].Refused += c.Refused
	}
	slices.SortFunc(x.Classes, send.RefusedClass.Compare)
	return x
}

// sum adds up numbers by priority.
func sum(a, b []int) []int {
	l := make([]int, max(len(a), len(b)))
	for i := range l {
		if i < len(a) {
			l[i] += a[i]
		}
		if i < len(b) {
			l[i] += b[i]
		}
	}
	return l
}
