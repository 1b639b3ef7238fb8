package send

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/shares"
	"heatherrouter/core/site"
)

// inKeyShare reports whether the request is within the share of the requests for its key that are sent. A view of an earlier coordinator
// than that of the holds says nothing about their age.
func (s *Sender) inKeyShare(r *request, l *hold.Holds, h hold.Hold) bool {
	view, age := s.o.View.Loads()
	if view != nil && l != nil && view.Stamp.Term < l.Stamp.Term {
		age = 0
	}
	return s.inShare(r, float64(h.Admit)/100, view, age)
}

// inServiceShare is inKeyShare for a service without keys. A request that was sent before is not refused by its share: it may have run.
func (s *Sender) inServiceShare(r *request) bool {
	view, age := s.o.View.Loads()
	if view == nil || len(r.sentTo) > 0 {
		return true
	}
	return s.inShare(r, view.Services[r.service.Name].Share, view, age)
}

// inShare reports whether the request is among the share that is sent of the requests of its kind; 0 is for all. The share is divided by
// priority, if the demand by priority is known. A peer that handed the request to this daemon has decided already.
func (s *Sender) inShare(r *request, share float64, view *loads.View, age time.Duration) bool {
	r.share = 0
	if share == 0 || r.relayed {
		return true
	}
	if view == nil || !s.o.Shares || !s.o.View.Snapshot().IsLarge() || !shares.Mixed(view.Services[r.service.Name].Demand) {
		return r.draw < share
	}
	own := shares.Of(shares.Aged(share, age), view.Services[r.service.Name].Demand, int(r.priority()))
	if own >= 1 {
		return true
	}
	r.share = own
	return shares.Draw(r.draw, r.callerRetry) < own
}

// returnAfter returns when the caller of a request that found no capacity is to return.
func (s *Sender) returnAfter(r *request) time.Duration {
	if r.share > 0 {
		return shares.RetryAfter(r.share, shares.Draw(r.draw, r.callerRetry), int(r.priority()), r.deadline.Sub(s.o.Clock.Now()))
	}
	if !r.callerRetry {
		return retryFull
	}
	if view, _ := s.sharedLoads(s.o.View.Snapshot()); view == nil {
		return retryFull
	}
	return shares.NextRetryAfter(r.draw, r.deadline.Sub(s.o.Clock.Now()))
}

// isShortage reports whether a reason is a lack of capacity that is counted by class.
func isShortage(why string) bool { return why == string(reasonFull) || why == string(reasonBusy) }

// recordShortage counts the request if its service is short of capacity. One from a peer was counted there.
func (s *Sender) recordShortage(r *request, f result) {
	if r.service == nil || r.route == nil || r.relayed {
		return
	}
	now, p := s.o.Clock.Now(), int(r.priority())
	refused := f.outcome == outcomeNotRun && isShortage(f.reason)
	if refused {
		s.o.Counter.RecordShortage(r.service.Name, r.route.Name, p, f.reason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case refused:
		s.shortages.Refused(now, r.service.Name, shares.Class{Route: r.route.Name, Priority: p, Organisation: r.organisationName(), Reason: f.reason})
	case len(r.sentTo) > 0:
		s.shortages.Sent(now, r.service.Name, p)
	}
}

func (r *request) organisationName() ident.Organisation {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}

// logPriority adds to the log entry of a request that found no capacity what it was refused by.
func (r *request) logPriority(e *log.Entry) {
	e.Uint32("priority", r.priority())
	if r.share > 0 {
		e.Float64("share", math.Round(100*r.share)/100)
	}
	if r.organisation != nil {
		e.Str("organisation", string(r.organisation.Name))
	}
}

// ShareState is a service that is short of capacity, for the state page. Counts are of this daemon, since the time given.
type ShareState struct {
	Service ident.Service  `json:"service"`
	Since   time.Time      `json:"since"`
	Share   float64        `json:"share"`  // of the requests that daemons send; 0 for all. Of a service with keys: the lowest of any key.
	Demand  []float64      `json:"demand"` // fractions of the callers' requests by priority, at all daemons
	Sent    []int          `json:"sent"`   // by priority
	Refused []int          `json:"refused"`
	Classes []RefusedClass `json:"refused-by"`
}

// RefusedClass counts refused requests of one class.
type RefusedClass struct {
	Route        string             `json:"route"`
	Priority     int                `json:"priority"`
	Organisation ident.Organisation `json:"organisation"`
	Reason       string             `json:"reason"`
	Refused      int                `json:"refused"`
}

// ShareStates returns the services that are short of capacity, by name.
func (s *Sender) ShareStates() []ShareState {
	l := []ShareState{} // not nil, which JSON would show as null
	c := s.o.View.Snapshot().Config
	if c == nil {
		return l
	}
	for n, v := range c.Services {
		if x := s.shareState(n); x != nil {
			x.Share, x.Demand = s.shareInForce(v)
			l = append(l, *x)
		}
	}
	slices.SortFunc(l, func(a, b ShareState) int { return cmp.Compare(a.Service, b.Service) })
	return l
}

// shareState returns what was counted in the shortage of a service; nil if there is none.
func (s *Sender) shareState(n ident.Service) *ShareState {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.shortages.Current(s.o.Clock.Now(), n)
	if x == nil {
		return nil
	}
	y := &ShareState{
		Service: n, Since: s.o.Clock.StdTime(x.Since).UTC().Truncate(time.Millisecond), Sent: slices.Clone(x.Sent), Refused: slices.Clone(x.Refused), Classes: make([]RefusedClass, 0, len(x.Classes)),
	}
	for k, count := range x.Classes {
		y.Classes = append(y.Classes, RefusedClass{Route: k.Route, Priority: k.Priority, Organisation: k.Organisation, Reason: k.Reason, Refused: count})
	}
	slices.SortFunc(y.Classes, RefusedClass.Compare)
	return y
}

// Compare orders classes by the number of refused requests, the highest first.
func (x RefusedClass) Compare(y RefusedClass) int {
	return cmp.Or(
		cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Route, y.Route),
		cmp.Compare(x.Organisation, y.Organisation), cmp.Compare(x.Reason, y.Reason),
	)
}

// shareInForce returns the share of the requests for a service that are sent, or the lowest of its keys, and its demand by priority.
func (s *Sender) shareInForce(v *site.Service) (share float64, demand []float64) {
	if holds := s.o.View.Holds(); v.Keyed && holds != nil {
		for _, h := range holds.Services[v.Name] {
			if x := float64(h.Admit) / 100; x > 0 && (share == 0 || x < share) {
				share = x
			}
		}
	}
	view, age := s.o.View.Loads()
	if view == nil {
		return share, nil
	}
	x := view.Services[v.Name]
	if !v.Keyed {
		share = x.Share
	}
	return shares.Aged(share, age), x.Demand
}
