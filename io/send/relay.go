package send

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/reach"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/memory"
)

// Relay hands requests to peers.
type Relay interface {
	// Send hands the request to the peer and writes the response that the peer received from a server to resp. It returns
	// at the deadline, or when the context ends. Otherwise the peer begins no send to a server after Send has returned, even if it was
	// paused meanwhile.
	Send(c context.Context, to ident.Daemon, x *Relayed, resp *fasthttp.Response) RelayResult
}

// Relayed is a request that one daemon hands to another, which reaches servers that the first can't reach.
type Relayed struct {
	Request  *fasthttp.Request // as the caller sent it
	ID       ident.Request
	Service  ident.Service
	Config   site.Version   // the receiver needs this configuration or a newer one
	SentTo   []ident.Server // servers that the request was sent to already
	Deadline mono.Time

	// SendEnd is until when the receiver may send the request to servers, as the time since the start of its host. It also binds a receiver
	// that was paused, or that isn't told that the sender has given the request up. Set on the receiving side.
	SendEnd time.Duration

	ServiceUnreachable bool // the sender can't reach any server of the service
	Counted            bool // the request counts for a retry budget already

	Memory *memory.Reservation // holds the bodies of the request and of the response
}

// RelayResult is what a peer answers to a Relayed.
type RelayResult struct {
	Outcome    retry.Outcome
	Reason     string // why there is no response of a server; in kebab case
	RetryAfter time.Duration
	Failed     bool           // the peer did not take the request
	SentTo     []ident.Server // servers that the peer sent the request to
	Counted    bool           // the request counts for a retry budget, or may do so
}

// Reasons in a RelayResult, in addition to those of callers' requests. After these another peer may run the request.
const (
	reasonServerUnreachable  = "server-unreachable"  // from the peer
	reasonServiceUnreachable = "service-unreachable" // all servers of the service, from the peer
	reasonOlderConfig        = "older-configuration" // at the peer
	reasonReadLate           = "read-late"           // by the peer: the period in which it might have sent the request was over
	reasonHandoverExpired    = "handover-expired"    // the period has ended before the peer was done with the request
)

// reasonUnsigned is the reason of a peer's success without a server's signature.
const reasonUnsigned = "unsigned"

// ReasonStopping is the reason of a peer that is about to stop.
const ReasonStopping = string(reasonStopping)

// ReasonNoMemory is the reason of a daemon that has no buffer space for the body of a request, or of a response if the outcome is unknown.
const ReasonNoMemory = "no-memory"

// maxRelays bounds the peers that a request is handed to. Peers that can't reach the server answer at once.
const maxRelays = 4

// relay hands a request to a peer because this daemon can't reach the servers that may run it. It returns the final result, or
// whether to choose again.
func (s *Sender) relay(r *request, now mono.Time) (f *result, again bool) {
	if r.relayed || len(r.relayedTo) >= maxRelays {
		return nil, false
	}
	snap := s.o.View.Snapshot()
	s.mu.Lock()
	to, ok := s.relays.Pick(now, snap, r.service.Name, r.target, r.relayedTo)
	if ok {
		s.relays.Started(to)
	}
	s.mu.Unlock()
	if !ok {
		return nil, false
	}
	r.relayedTo = append(r.relayedTo, to)
	resp := fasthttp.AcquireResponse()
	x := s.handOver(r, to, snap, resp)
	s.mu.Lock()
	s.relays.Ended(s.o.Clock.Now(), to, r.service.Name, r.target, x.report())
	s.mu.Unlock()
	if x.Outcome == retry.Answered {
		s.o.Counter.RecordRelay(r.service.Name, x.Outcome.String(), "")
		s.observeRelayed(snap, x, now, resp)
		f := s.handleResponse(r, resp, 0)
		return f, f == nil
	}
	s.o.Counter.RecordRelay(r.service.Name, x.Outcome.String(), x.Reason)
	fasthttp.ReleaseResponse(resp)
	s.logNotServed(r, to, x, s.o.Clock.Now().Sub(now))
	return s.relayRefused(r, x)
}

// logNotServed logs that a peer has not served a request.
func (s *Sender) logNotServed(r *request, to ident.Daemon, x RelayResult, took time.Duration) {
	s.o.Log.Info().Str("request-id", string(r.id)).Str("peer", string(to)).Str("outcome", x.Outcome.String()).Str("reason", x.Reason).
		Dur("took", took).Msg("not served by a peer")
}

// handOver sends a request to a peer and waits for its answer.
func (s *Sender) handOver(r *request, to ident.Daemon, snap *site.Snapshot, resp *fasthttp.Response) RelayResult {
	began := s.o.Clock.Now()
	if !s.endsInTime(r, began) { // it may have waited for a token
		return RelayResult{Outcome: retry.NotRun, Reason: ReasonStopping}
	}
	x := s.o.Relay.Send(r.ctx, to, &Relayed{
		Request: r.req, ID: r.id, Service: r.service.Name, Config: snap.Config.Version, SentTo: r.sentTo, Deadline: s.serverDeadline(r),
		ServiceUnreachable: s.o.Paths.Suspected(r.service.Name), Counted: r.counted, Memory: r.memory,
	}, resp)
	if x.Outcome == retry.Answered {
		s.observeTime(r, s.o.Clock.Now().Sub(began))
	}
	r.counted = r.counted || x.Counted
	r.sentTo = append(r.sentTo, x.SentTo...)
	if x.Outcome == retry.Answered && !s.isFromServer(resp) {
		x.Outcome, x.Reason = retry.Unknown, reasonUnsigned
	}
	return x
}

// observeRelayed records what a server says of itself in a response that a peer received from it: the caller hears it from this daemon.
func (s *Sender) observeRelayed(snap *site.Snapshot, x RelayResult, sentAt mono.Time, resp *fasthttp.Response) {
	if len(x.SentTo) == 0 {
		return
	}
	if y := snap.Servers[x.SentTo[len(x.SentTo)-1]]; y != nil {
		r, _ := s.o.Dialect.ReadReport(resp)
		if r.Backoff > 0 { // the peer was asked, and tells the coordinator
			r.Backoff, sentAt = 0, 0
		}
		s.o.Reports.Observe(y, sentAt, r)
	}
}

// relayAnswered returns the response that a peer received from a server.
func (s *Sender) relayAnswered(r *request, resp *fasthttp.Response) *result {
	s.dropResponse(r)
	reason := ""
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		reason = "failed"
	}
	return &result{status: resp.StatusCode(), outcome: outcomeAnswered, reason: reason, response: resp}
}

// relayRefused returns the result of a request that a peer has not served, or reports whether to choose again.
func (s *Sender) relayRefused(r *request, x RelayResult) (f *result, again bool) {
	switch {
	case r.caller.Err() != nil:
		return &result{outcome: outcomeCallerLeft, reason: "caller-left"}, false
	case x.Reason == reasonHandoverExpired:
		return s.handoverExpired(r, x)
	case x.Outcome == retry.Unknown:
		status := fasthttp.StatusBadGateway
		if !s.o.Clock.Now().Before(r.deadline) {
			status = fasthttp.StatusGatewayTimeout
		}
		return &result{status: status, outcome: outcomeUnknown, reason: x.Reason}, false
	case x.mayTryOther():
		return nil, true
	}
	y := s.refuse(r, reason(x.Reason))
	y.retryAfter = max(y.retryAfter, x.RetryAfter) // the peer doesn't know that the caller was refused before
	return &y, false
}

// handoverExpired returns the result of a request whose time at a peer has ended before the peer was done with it, or reports whether to
// choose again. The request waited there, for its key's next owner or a cold server, or its attempts failed. While it may wait, the same peer
// can be asked again.
func (s *Sender) handoverExpired(r *request, x RelayResult) (f *result, again bool) {
	if x.Outcome == retry.Unknown {
		r.mayHaveRun = true
		if !r.route.Idempotent {
			y := s.refuse(r, reasonHandoverExpired)
			return &y, false
		}
	}
	if now := s.o.Clock.Now(); now.Before(r.waitEnd()) {
		r.relayedTo = nil
		return nil, true
	}
	y := s.refuse(r, reasonHandoverExpired)
	return &y, false
}

// otherPeerReasons are the reasons for which one peer doesn't serve a request that another one may serve.
var otherPeerReasons = []string{
	reasonServerUnreachable, reasonServiceUnreachable, reasonOlderConfig, reasonReadLate, ReasonStopping, ReasonNoMemory, "no-configuration", "no-route",
	string(reasonUnsupportedService), string(reasonUnsupportedRoute), // peers may run another build
}

// mayTryOther reports whether another peer may serve a request that this one has not run.
func (x RelayResult) mayTryOther() bool {
	return x.Failed || slices.Contains(otherPeerReasons, x.Reason)
}

// report returns what the result says about the peer's paths to servers.
func (x RelayResult) report() reach.Report {
	switch {
	case x.Outcome == retry.Answered:
		return reach.Reached
	case x.Failed, x.Reason == reasonReadLate:
		return reach.PeerFailed
	case x.Reason == reasonServerUnreachable:
		return reach.ServerUnreachable
	case x.Reason == reasonServiceUnreachable:
		return reach.ServiceUnreachable
	}
	return reach.Undecided
}

// HandleRelayed serves a request that a peer has handed to this daemon, and writes the response of a server to resp. It never hands
// the request on. The context is cancelled when the peer's caller disconnects.
func (s *Sender) HandleRelayed(c context.Context, from ident.Daemon, x *Relayed, resp *fasthttp.Response) RelayResult {
	if x.ServiceUnreachable {
		s.mu.Lock()
		s.relays.Asked(s.o.Clock.Now(), from, x.Service)
		s.mu.Unlock()
	}
	r := s.newRequest(c, x.Request)
	r.relayed, r.relayDeadline, r.sentTo = true, x.Deadline, slices.Clone(x.SentTo)
	r.sendEnd, r.counted, r.memory = x.SendEnd, x.Counted, x.Memory
	if !s.inSendPeriod(r) {
		return RelayResult{Outcome: retry.NotRun, Reason: reasonReadLate, Counted: r.counted}
	}
	snap := s.o.View.Snapshot()
	if snap.Config != nil && snap.Config.Version < x.Config && s.o.View.Refresh(c) {
		snap = s.o.View.Snapshot()
	}
	if snap.Config == nil || snap.Config.Version < x.Config {
		return RelayResult{Outcome: retry.NotRun, Reason: reasonOlderConfig}
	}
	r.service = snap.Config.Services[x.Service]
	f := s.runToEnd(r)
	s.recordOutcome(r, f)
	y := RelayResult{Reason: f.reason, RetryAfter: f.retryAfter, SentTo: r.sentTo[len(x.SentTo):], Counted: r.counted}
	switch {
	case f.response != nil:
		y.Outcome = retry.Answered
		copyResponse(f.response, resp)
		fasthttp.ReleaseResponse(f.response)
	case f.outcome == outcomeNotRun:
		y.Outcome = retry.NotRun
	default:
		y.Outcome = retry.Unknown
	}
	if f.reason == string(reasonUnreachable) {
		y.Reason = reasonServerUnreachable
		if r.service != nil && s.o.Paths.Suspected(r.service.Name) {
			y.Reason = reasonServiceUnreachable
		}
	}
	return y
}
