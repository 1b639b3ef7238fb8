// Package organisation merges the organisations in the state pages of several daemons.
package organisation

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/io/limit"
)

// Organisation is the combined state of an organisation on the queried daemons.
type Organisation struct {
	Name       ident.Organisation `json:"name"`
	Keys       int                `json:"keys"`
	KeyDigests []string           `json:"key-digests"`
	Rate       float64            `json:"rate"`       // requests per second; 0 for no limit
	Burst      float64            `json:"burst"`      // requests
	Sent       int                `json:"sent"`       // requests in the current window; site-wide if the coordinator was queried
	Allowed    int                `json:"allowed"`    // maximum requests per window; 0 if the coordinator wasn't queried
	OverLimit  int                `json:"over-limit"` // requests refused by the queried daemons since their start because of the limit
	NoAnswer   int                `json:"no-answer"`  // requests refused by them because no coordinator answered
	Daemons    []DaemonUsage      `json:"daemons"`
}

// DaemonUsage is one daemon's use of an organisation's limit.
type DaemonUsage struct {
	Daemon ident.Daemon `json:"daemon"`
	Tokens int          `json:"tokens"`
	Sent   int          `json:"sent"` // requests in the current window
}

// daemonState is the part of a daemon's state page that is read.
type daemonState struct {
	Daemon        ident.Daemon  `json:"daemon"`
	Organisations []limit.State `json:"organisations"`
}

// Read queries the daemons at all --admin addresses. It skips those that don't answer and fails if none does.
func Read(e *cli.Env) ([]Organisation, error) {
	l, err := cli.ReadStates[daemonState](e)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return merge(l), nil
}

func merge(states []daemonState) []Organisation {
	byName := map[ident.Organisation]*Organisation{}
	for _, d := range states {
		for _, s := range d.Organisations {
			o := byName[s.Name]
			if o == nil {
				o = &Organisation{Name: s.Name, Keys: s.Keys, KeyDigests: s.KeyDigests, Rate: s.Rate, Burst: s.Burst}
				byName[s.Name] = o
			}
			o.add(d.Daemon, s)
		}
	}
	l := make([]Organisation, 0, len(byName))
	for _, o := range byName {
		l = append(l, *o)
	}
	slices.SortFunc(l, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

func (o *Organisation) add(d ident.Daemon, s limit.State) {
	o.OverLimit += s.OverLimit
	o.NoAnswer += s.NoAnswer
	o.Daemons = append(o.Daemons, DaemonUsage{Daemon: d, Tokens: s.Tokens, Sent: s.Sent})
	switch {
	case s.Site != nil:
		o.Sent, o.Allowed = s.Site.Sent, s.Site.Allowed
	case o.Allowed == 0:
		o.Sent += s.Sent
	}
}
