package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/memory"
	"heatherrouter/io/peer"
	"heatherrouter/io/send"
	"heatherrouter/io/wire"
)

// Handler serves requests that peers hand to this daemon.
type Handler interface {
	// Priority returns the priority of a request by its route.
	Priority(h *fasthttp.RequestHeader) int

	HandleRelayed(c context.Context, from ident.Daemon, x *send.Relayed, resp *fasthttp.Response) send.RelayResult
}

// Server serves the requests of peers.
type Server struct {
	clock   *clock.Clock
	handler Handler
	memory  *memory.Budget
	log     *log.Logger

	mu      sync.Mutex
	running int
	idle    chan struct{} // set by Drain, and closed when no request runs
}

// NewServer returns a Server. The budget accounts for the bodies of requests and responses; nil for no limit.
func NewServer(c *clock.Clock, h Handler, m *memory.Budget, l *log.Logger) *Server {
	return &Server{clock: c, handler: h, memory: m, log: l}
}

// Drain refuses further requests, and returns when those that run have ended or the context ends.
func (s *Server) Drain(c context.Context) {
	s.mu.Lock()
	if s.idle == nil {
		s.idle = make(chan struct{})
		if s.running == 0 {
			close(s.idle)
		}
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-c.Done():
	}
}

// begin reports whether a request may run. If so, end must follow.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
	}
}

// Serve serves one exchange.
func (s *Server) Serve(c context.Context, from ident.Daemon, e *peer.Exchange) {
	s.logUnread(from, e)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	x := s.decode(e, req)
	x.Memory = &memory.Reservation{Budget: s.memory, Priority: s.handler.Priority(&req.Header)}
	defer x.Memory.ReleaseAll()
	if why := s.refusal(e, x.Memory); why != "" {
		s.refuse(e, why, x.Memory.Priority)
		return
	}
	body, sendEnd, err := readRequestBody(e)
	x.SendEnd = sendEnd
	if err != nil {
		e.Abort() // the peer has given the request up
		return
	}
	req.SetBodyRaw(body)
	c, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-e.Done():
			cancel() // the peer has given the request up, or has the whole response
		case <-c.Done():
		}
	}()
	r := send.RelayResult{Outcome: retry.NotRun, Reason: send.ReasonStopping}
	if s.begin() {
		defer s.end()
		r = s.handler.HandleRelayed(c, from, x, resp)
	}
	err = e.WriteResponse(encodeAnswer(r, resp))
	if err == nil {
		err = writeBody(e, resp.Body())
	}
	if err != nil {
		e.Abort()
	}
}

// unreadLogThreshold is the time for which a request may lie unread before it is logged.
const unreadLogThreshold = 200 * time.Millisecond

// logUnread logs a request that lay unread for long: this process was paused, or is slow.
func (s *Server) logUnread(from ident.Daemon, e *peer.Exchange) {
	unread := s.clock.SinceBoot() - e.SentAt
	if e.SentAt == 0 || unread < unreadLogThreshold {
		return
	}
	s.log.Info().Str("request-id", e.Head.GetRequestId()).Str("peer", string(from)).Dur("unread", unread).
		Dur("remaining", duration(e.Head.GetRemainingUs())-unread).Msg("request of a peer lay unread")
}

// refusal reserves the memory for the request's body, and returns the reason why the request can't be taken, or an empty string.
func (s *Server) refusal(e *peer.Exchange, m *memory.Reservation) string {
	if e.SentAt == 0 {
		return send.ReasonStopping // a peer of another version, which doesn't say until when the request may be sent
	}
	if m.ReserveRequest(int(max(0, min(e.Head.GetBodySize(), maxBodyBytes)))) != nil {
		return send.ReasonNoMemory
	}
	return ""
}

// refuse answers the peer, which can ask another one.
func (s *Server) refuse(e *peer.Exchange, why string, priority int) {
	_, err := io.Copy(io.Discard, e) // the peer reads the answer after it has sent the body
	if err == nil {
		r := send.RelayResult{Outcome: retry.NotRun, Reason: why, RetryAfter: send.NoMemoryRetryAfter(priority), Counted: e.Head.GetCounted()}
		err = e.WriteResponse(encodeAnswer(r, nil))
	}
	if err == nil {
		err = writeBody(e, nil)
	}
	if err != nil {
		e.Abort()
	}
}

// decode fills req with the header of the request as its caller sent it. The durations in the message count from its sending: this process may
// have been paused while the message lay unread.
func (s *Server) decode(e *peer.Exchange, req *fasthttp.Request) *send.Relayed {
	m := e.Head
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(m.GetMethod())
	for _, h := range m.GetHeaders() {
		req.Header.AddBytesKV(h.GetName(), h.GetValue())
	}
	req.Header.SetRequestURIBytes(m.GetUri())
	x := &send.Relayed{
		Request: req, ID: ident.Request(m.GetRequestId()), Service: ident.Service(m.GetService()), Config: site.Version(m.GetConfiguration()),
		Deadline:           s.clock.FromBoot(e.SentAt + duration(m.GetRemainingUs())),
		ServiceUnreachable: m.GetServiceUnreachable(), Counted: m.GetCounted(),
	}
	for _, s := range m.GetSentTo() {
		x.SentTo = append(x.SentTo, ident.Server(s))
	}
	return x
}

func duration(us uint64) time.Duration { return time.Duration(us) * time.Microsecond } //nolint:gosec // seconds

func encodeAnswer(r send.RelayResult, resp *fasthttp.Response) *wire.ExchangeAnswer {
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: r.Reason, Counted: r.Counted, RetryAfterMs: uint32(r.RetryAfter.Milliseconds())} //nolint:gosec // seconds
	for _, s := range r.SentTo {
		a.SentTo = append(a.SentTo, string(s))
	}
	switch r.Outcome {
	case retry.Answered:
		a.Outcome, a.Status = wire.Outcome_OUTCOME_ANSWERED, uint32(resp.StatusCode()) //nolint:gosec // a status
		a.BodyFollows, a.BodySize = true, int64(len(resp.Body()))
		for n, v := range resp.Header.All() {
			a.Headers = append(a.Headers, encodeHeader(n, v))
		}
	case retry.NotRun:
		a.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	case retry.Unknown, retry.Moved:
	}
	return a
}
