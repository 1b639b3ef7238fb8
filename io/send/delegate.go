package send

import (
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
)

// minDelegateTarget is the shortest target latency of a route whose requests may take the way over a delegate, which adds up to
// some tens of milliseconds at a small daemon.
const minDelegateTarget = time.Second

// delegateOf returns the daemon of this failure domain that sends requests to the server, or false if this daemon sends the
// request by itself. A request that may run only once is sent directly: a lost delegate would leave its outcome unknown.
func (s *Sender) delegateOf(r *request, b *backend, snap *site.Snapshot, now mono.Time) (ident.Daemon, bool) {
	if r.relayed || r.undelegated || !r.route.Idempotent || !r.service.Keyed || r.route.TargetLatency < minDelegateTarget || len(r.sentTo) > 0 {
		return "", false
	}
	if now.Before(b.server.ColdUntil) || s.o.Reports.Limit(b.server) > 0 || b.pool.HasIdle() {
		return "", false // limits of cold and limited servers are shared by all daemons
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.delegates.Of(snap, b.server)
	return n, ok && n != s.o.Self && !s.relays.Avoids(now, n, r.service.Name, b.server.ID)
}

// delegate hands a request to the delegate of the server. It returns the final result, or nil if this daemon has to send the
// request by itself.
func (s *Sender) delegate(r *request, b *backend, to ident.Daemon, snap *site.Snapshot, now mono.Time) *result {
	r.undelegated = true // whatever happens, it isn't handed on again
	s.mu.Lock()
	s.relays.Started(to)
	s.mu.Unlock()
	resp := fasthttp.AcquireResponse()
	x := s.handOver(r, to, snap, resp)
	s.mu.Lock()
	s.relays.Ended(s.o.Clock.Now(), to, r.service.Name, b.server.ID, x.report())
	s.mu.Unlock()
	s.o.Counter.RecordDelegated(r.service.Name, x.Outcome.String(), x.Reason)
	if x.Outcome == retry.Answered {
		s.observeRelayed(snap, x, now, resp)
		return s.relayAnswered(r, resp)
	}
	fasthttp.ReleaseResponse(resp)
	s.logNotServed(r, to, x, s.o.Clock.Now().Sub(now))
	if r.caller.Err() == nil && x.Outcome == retry.Unknown {
		if len(x.SentTo) == 0 {
			r.sentTo = append(r.sentTo, b.server.ID) // the delegate may have sent it before it was lost
		}
		r.mayHaveRun = true
		return nil
	}
	f, _ := s.relayRefused(r, x)
	return f
}
