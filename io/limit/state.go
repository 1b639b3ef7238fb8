package limit

import (
	"maps"
	"math"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/quota"
	"heatherrouter/core/site"
)

// State is a daemon's state of an organisation, for the state page.
type State struct {
	Name       ident.Organisation `json:"name"`
	Keys       int                `json:"keys"`
	KeyDigests []string           `json:"key-digests"` // truncated digests of the first maxKeyDigests keys
	Rate       float64            `json:"rate"`        // requests per second; 0 for no limit
	Burst      float64            `json:"burst"`       // requests
	Tokens     int                `json:"tokens"`      // tokens held by this daemon
	Sent       int                `json:"sent"`        // requests sent by this daemon in the current window
	OverLimit  int                `json:"over-limit"`  // requests refused by this daemon since its start because of the limit
	NoAnswer   int                `json:"no-answer"`   // requests refused by this daemon since its start because no coordinator answered
	Site       *SiteState         `json:"site"`        // set on the coordinator if the organisation has a limit, otherwise null
}

// SiteState is the coordinator's state of an organisation or a backend server across all daemons.
type SiteState struct {
	Sent      int     `json:"sent"`      // requests sent in the current window
	Allowed   int     `json:"allowed"`   // maximum requests per window
	Held      int     `json:"held"`      // tokens held by daemons
	Available int     `json:"available"` // tokens in the bucket
	Demand    float64 `json:"demand"`    // recent requests per second from callers
	Daemons   int     `json:"daemons"`   // number of daemons that hold or want tokens
}

// maxKeyDigests bounds the key digests listed per organisation.
const maxKeyDigests = 20

// refusals counts an organisation's refused requests by reason.
type refusals struct{ overLimit, noAnswer int }

// States returns the state of all organisations, sorted by name.
func (l *Limiter) States() []State {
	s := l.pool.o.View.Snapshot()
	if s.Config == nil {
		return nil
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	o := s.Config.Organisations()
	states := make([]State, 0, len(o))
	for _, n := range slices.Sorted(maps.Keys(o)) {
		states = append(states, l.state(o[n]))
	}
	return states
}

func (l *Limiter) state(o *site.Organisation) State {
	now, n := l.pool.o.Clock.Now(), quota.Subject(o.Name)
	x := State{Name: o.Name, Keys: len(o.Keys), KeyDigests: []string{}, Rate: o.Limit.Rate, Burst: o.Limit.Burst}
	for _, d := range o.Keys[:min(len(o.Keys), maxKeyDigests)] {
		x.KeyDigests = append(x.KeyDigests, d.String())
	}
	x.Tokens, x.Sent = l.pool.tokens.Usage(now, n)
	r := l.refused[o.Name]
	x.OverLimit, x.NoAnswer = r.overLimit, r.noAnswer
	x.Site = l.pool.siteState(n)
	return x
}

// siteState returns the coordinator's state of a subject, or nil on other daemons. The caller must hold p.mu.
func (p *pool) siteState(n quota.Subject) *SiteState {
	ledger := p.currentLedger()
	if ledger == nil {
		return nil
	}
	u, ok := ledger.Usage(p.o.Clock.Now(), n)
	if !ok {
		return nil
	}
	return &SiteState{
		Sent: roundToInt(u.Sent), Allowed: roundToInt(u.MaxRequests), Held: roundToInt(u.Outstanding), Available: roundToInt(u.Available),
		Demand: math.Round(10*u.Demand) / 10, Daemons: u.Daemons,
	}
}

func roundToInt(x float64) int { return int(math.Round(x)) }

// countRefusal counts a refused request.
func (l *Limiter) countRefusal(n ident.Organisation, limited bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	r := l.refused[n]
	if limited {
		r.overLimit++
	} else {
		r.noAnswer++
	}
	l.refused[n] = r
}
