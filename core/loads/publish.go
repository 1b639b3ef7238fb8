package loads

import (
	"maps"
	"math"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

const (
	// warmUp is how long a coordinator must have had observations before it distributes them. Within this time each daemon sends its
	// first ones.
	warmUp = time.Second

	// slowdownStep is the step of distributed slowdowns.
	slowdownStep = 0.1

	// A level is left upwards at busyAt and fullAt requests per slot, and downwards below notBusyAt and notFullAt. Each change is
	// sent to all daemons.
	busyAt, notBusyAt = 1.0, 0.75
	fullAt, notFullAt = 2.0, 1.5

	// mostlyFull is the fraction of a server's requests that found no capacity from which it counts as full, whatever it reported.
	mostlyFull = 0.5

	// demandTolerance is the difference from the distributed fraction of a priority from which the fractions are sent again.
	demandTolerance = 0.05

	// goneLifetime is how long it is kept that an entry is gone. A daemon with an older copy gets the whole view.
	goneLifetime = 30 * time.Second
)

// Update is what a daemon with an earlier version of the view, or none, needs to have a newer one. Entries without content are gone.
type Update struct {
	Stamp    Stamp
	Whole    bool // entries that aren't listed are gone
	Services map[ident.Service]Service
	Servers  map[report.Target]Server
}

// Edition is a version of the view, and what has changed since earlier ones. It is immutable.
type Edition struct {
	View *View

	servers  map[report.Target]uint64 // sequence of the version in which an entry last changed, also of entries that are gone
	services map[ident.Service]uint64 // likewise
	oldest   uint64                   // sequence of the earliest version that changes are known since
}

// Since returns what has changed since the version that a daemon has, or nil if it has this one. The stamp is zero for a daemon that
// has none.
func (e *Edition) Since(x Stamp) *Update {
	u := &Update{Stamp: e.View.Stamp, Services: map[ident.Service]Service{}, Servers: map[report.Target]Server{}}
	switch {
	case x == e.View.Stamp:
		return nil
	case x.Term != u.Stamp.Term || x.Sequence < e.oldest || x.Sequence > u.Stamp.Sequence:
		u.Whole, u.Services, u.Servers = true, e.View.Services, e.View.Servers
		return u
	}
	for k, n := range e.servers {
		if n > x.Sequence {
			u.Servers[k] = e.View.Servers[k]
		}
	}
	for k, n := range e.services {
		if n > x.Sequence {
			u.Services[k] = e.View.Services[k]
		}
	}
	return u
}

// Apply returns the view with an update applied. It reports false for an update that is not newer, which changes nothing. The view may
// be nil.
func (v *View) Apply(u *Update) (*View, bool) {
	if v != nil && !v.Stamp.Less(u.Stamp) {
		return v, false
	}
	next := &View{Stamp: u.Stamp, Services: map[ident.Service]Service{}, Servers: map[report.Target]Server{}}
	if v != nil && !u.Whole {
		maps.Copy(next.Services, v.Services)
		maps.Copy(next.Servers, v.Servers)
	}
	for k, x := range u.Services {
		if next.Services[k] = x; x.isEmpty() {
			delete(next.Services, k)
		}
	}
	for k, x := range u.Servers {
		if next.Servers[k] = x; x == (Server{}) {
			delete(next.Servers, k)
		}
	}
	return next, true
}

func (x Service) isEmpty() bool { return x.Share == 0 && len(x.Demand) == 0 }

func (x Service) equal(y Service) bool { return x.Share == y.Share && slices.Equal(x.Demand, y.Demand) }

// Publisher builds the versions of the view of one coordinator's term from its survey. It is not safe for concurrent use.
type Publisher struct {
	edition *Edition // the newest; its view is empty before the first that is distributed
	shares  map[ident.Service]float64
	keyed   map[ident.Service]bool
	sparse  map[ident.Service]bool // services of which servers are in the view
	gone    map[report.Target]mono.Time
}

// NewPublisher returns a Publisher for a coordinator's term.
func NewPublisher(t site.Term) *Publisher {
	return &Publisher{
		edition: &Edition{View: &View{Stamp: Stamp{Term: t}}},
		shares:  map[ident.Service]float64{}, sparse: map[ident.Service]bool{}, gone: map[report.Target]mono.Time{},
	}
}

// SetKeyed sets the services whose keys are owned by servers. Daemons have no choice among these servers, so that only the full ones are
// distributed.
func (p *Publisher) SetKeyed(l map[ident.Service]bool) { p.keyed = l }

// SetShare sets the fraction of the callers' requests for a service that daemons send; 0 for all. It is distributed in steps of 1 %.
func (p *Publisher) SetShare(n ident.Service, share float64) { p.shares[n] = share }

// Update returns the newest version of the view for a site with a number of daemons, or nil while there is nothing to distribute.
func (p *Publisher) Update(now mono.Time, s *Survey, daemons int) *Edition {
	if s.since == 0 || now.Sub(s.since) < warmUp {
		return nil
	}
	was := p.edition
	v := &View{
		Stamp:    Stamp{Term: was.View.Stamp.Term, Sequence: was.View.Stamp.Sequence + 1},
		Services: p.serviceEntries(now, s, was.View), Servers: p.serverEntries(now, s, was.View, daemons),
	}
	e := &Edition{View: v, servers: maps.Clone(was.servers), services: maps.Clone(was.services), oldest: was.oldest}
	if e.servers == nil {
		e.servers, e.services, e.oldest = map[report.Target]uint64{}, map[ident.Service]uint64{}, v.Stamp.Sequence
	}
	changed := markChanged(e.servers, was.View.Servers, v.Servers, v.Stamp.Sequence, func(x, y Server) bool { return x == y })
	changed = markChanged(e.services, was.View.Services, v.Services, v.Stamp.Sequence, Service.equal) || changed
	if !changed && was.View.Stamp.Sequence > 0 {
		return was
	}
	p.forgetGone(now, e)
	p.edition = e
	return e
}

// markChanged sets the sequence of all entries that differ, and reports whether any does.
func markChanged[K comparable, V any](sequences map[K]uint64, was, is map[K]V, sequence uint64, equal func(x, y V) bool) bool {
	changed := false
	for k, x := range is {
		if y, ok := was[k]; !ok || !equal(x, y) {
			sequences[k], changed = sequence, true
		}
	}
	for k := range was {
		if _, ok := is[k]; !ok {
			sequences[k], changed = sequence, true
		}
	}
	return changed
}

// forgetGone discards what is kept of servers that have been gone for goneLifetime.
func (p *Publisher) forgetGone(now mono.Time, e *Edition) {
	for k, n := range e.servers {
		if _, ok := e.View.Servers[k]; ok {
			delete(p.gone, k)
			continue
		}
		if at, ok := p.gone[k]; !ok {
			p.gone[k] = now
		} else if now.Sub(at) >= goneLifetime {
			delete(p.gone, k)
			delete(e.servers, k)
			e.oldest = max(e.oldest, n)
		}
	}
}

// serverEntries returns the entries of servers. Those without any knowledge have none.
func (p *Publisher) serverEntries(now mono.Time, s *Survey, was *View, daemons int) map[report.Target]Server {
	count := map[ident.Service]int{}
	for _, v := range s.servers {
		count[v.service]++
	}
	for n, servers := range count {
		rate := 0.0
		for _, r := range s.Demand(now, n) {
			rate += r
		}
		p.sparse[n] = Sparse(servers, daemons, rate, p.sparse[n])
	}
	l := make(map[report.Target]Server, len(s.servers))
	for k, v := range s.servers {
		if !p.sparse[v.service] {
			continue
		}
		y := was.Servers[k]
		x := Server{Slowdown: stepSlowdown(y.Slowdown, v.slowdown.Min(now)), Level: v.level(now, y.Level)}
		if p.keyed[v.service] {
			x.Slowdown = 0
			if x.Level < Full {
				x.Level = Free
			}
		}
		if x != (Server{}) {
			l[k] = x
		}
	}
	return l
}

// stepSlowdown returns the slowdown to distribute: the earlier one while the difference is less than a step.
func stepSlowdown(was, x float64) float64 {
	if x == 0 || math.Abs(x-was) < slowdownStep {
		return was
	}
	return max(1, math.Round(x/slowdownStep)) * slowdownStep
}

// level returns the level of the server, given the one that was distributed before.
func (v *server) level(now mono.Time, was Level) Level {
	if v.at == 0 || now.Sub(v.at) > reportLifetime {
		return Free
	}
	if v.w.Full > 0 && v.w.Full >= mostlyFull*v.w.Sent {
		return Full
	}
	if v.w.Reports == 0 {
		return Free
	}
	perSlot := v.w.LoadSum / v.w.Reports / float64(max(1, v.slots))
	switch {
	case perSlot > fullAt, was == Full && perSlot >= notFullAt:
		return Full
	case perSlot >= busyAt, was >= Busy && perSlot >= notBusyAt:
		return Busy
	}
	return Free
}

// serviceEntries returns the entries of services. Those without demand and share have none.
func (p *Publisher) serviceEntries(now mono.Time, s *Survey, was *View) map[ident.Service]Service {
	l := map[ident.Service]Service{}
	for n := range s.services {
		l[n] = Service{Demand: stepDemand(was.Services[n].Demand, s.Demand(now, n))}
	}
	for n, share := range p.shares {
		x := l[n]
		if x.Share = 0; share > 0 && share < 1 {
			x.Share = max(0.01, math.Round(100*share)/100)
		}
		l[n] = x
	}
	maps.DeleteFunc(l, func(_ ident.Service, x Service) bool { return x.isEmpty() })
	return l
}

// stepDemand returns the fractions of the demand by priority, as they are distributed: the earlier ones while the difference is small.
// A priority with any demand has at least 1 %.
func stepDemand(was, rates []float64) []float64 {
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	if sum < minDemand {
		return was
	}
	l, same := make([]float64, len(rates)), len(rates) == len(was)
	for i, r := range rates {
		if l[i] = r / sum; l[i] >= minFraction {
			l[i] = max(0.01, math.Round(100*l[i])/100)
		}
		same = same && math.Abs(l[i]-was[i]) < demandTolerance && (l[i] > 0) == (was[i] > 0)
	}
	if same {
		return was
	}
	return Normalize(l)
}

const (
	// minDemand is the number of requests per second below which a demand isn't told from none, and minFraction the same as a
	// fraction of the demand for one priority.
	minDemand   = 0.1
	minFraction = 0.001
)

// Normalize scales fractions so that they add up to 1.
func Normalize(l []float64) []float64 {
	sum := 0.0
	for _, x := range l {
		sum += x
	}
	if sum == 0 {
		return nil
	}
	for i := range l {
		l[i] /= sum
	}
	return l
}

const (
	// sparseBelow and denseFrom are the requests per second that a daemon sends to a server of a service, below which the servers
	// are in the view, and from which they no longer are: its own reports are newer.
	sparseBelow = 1.0
	denseFrom   = 1.2
)

// Sparse reports whether daemons need the view of a service's servers, given the callers' requests per second at all daemons and
// whether they have needed it until now.
func Sparse(servers, daemons int, rate float64, was bool) bool {
	if daemons < 2 {
		return false // all that is known comes from one daemon
	}
	x := rate / float64(max(1, servers*daemons))
	return x < sparseBelow || was && x < denseFrom
}
