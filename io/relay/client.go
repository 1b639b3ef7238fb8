// Package relay carries requests between daemons: a daemon that can't reach the servers of a request hands it to a peer that can.
package relay

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
	"heatherrouter/io/clock"
	"heatherrouter/io/memory"
	"heatherrouter/io/peer"
	"heatherrouter/io/send"
	"heatherrouter/io/wire"
)

// Exchanger opens exchanges with peers.
type Exchanger interface {
	// OpenExchange starts an exchange whose durations count from asOf, as the time since the start of the host.
	OpenExchange(c context.Context, to ident.Daemon, head *wire.Exchange, asOf time.Duration) (*peer.Exchange, error)
}

// Client hands requests to peers. It implements send.Relay.
type Client struct {
	clock *clock.Clock
	peers Exchanger
}

// NewClient returns a Client.
func NewClient(c *clock.Clock, p Exchanger) *Client { return &Client{clock: c, peers: p} }

// Reasons of results without an answer of the peer, in kebab case.
const (
	reasonPeerFailed = "peer-failed" // the peer did not take the request
	reasonPeerLost   = "peer-lost"   // the peer may have sent the request to a server
)

const (
	// sendPeriod is how long a peer may send a request to servers after it was handed over. It must be shorter than the time in which a
	// lost peer is noticed.
	sendPeriod = 300 * time.Millisecond

	// sendMargin is the time from the peer's last look at the period until the first byte of the request has left it.
	sendMargin = 100 * time.Millisecond
)

// Send implements send.Relay.
func (k *Client) Send(c context.Context, to ident.Daemon, x *send.Relayed, resp *fasthttp.Response) send.RelayResult {
	c, cancel := context.WithDeadline(c, k.clock.StdTime(x.Deadline))
	defer cancel()
	r, sendEnd := k.exchange(c, to, x, resp)
	if r.Outcome == retry.Unknown && sendEnd > 0 {
		// The peer may be paused with the request unread. Until the end of the period, it could begin to send the request after another
		// attempt has ended.
		clock.Sleep(c, sendEnd+sendMargin-k.clock.SinceBoot())
	}
	return r
}

// exchange hands the request to the peer and waits for the answer. If there is none, it returns until when the peer may still send the request,
// as the time since the start of the host; else 0.
func (k *Client) exchange(c context.Context, to ident.Daemon, x *send.Relayed, resp *fasthttp.Response) (r send.RelayResult, sendEnd time.Duration) {
	asOf := k.clock.SinceBoot()
	e, err := k.peers.OpenExchange(c, to, k.encode(x), asOf)
	if err != nil {
		return peerFailed, 0
	}
	defer context.AfterFunc(c, e.Abort)() // the peer then cancels the request
	sendEnd, err = writeRequestBody(e, x.Request.Body())
	if err != nil {
		e.Abort()
		return peerFailed, 0
	}
	r, err = read(e, x.Memory, resp)
	if err != nil {
		e.Abort()
		return failure(err), sendEnd
	}
	return r, 0
}

// peerFailed is the result if the peer has not received the whole request: it sends nothing before that.
var peerFailed = send.RelayResult{Outcome: retry.NotRun, Failed: true, Reason: reasonPeerFailed}

var errStatus = errors.New("peer answered with an invalid status")

// failure returns the result of an exchange whose request was handed over.
func failure(err error) send.RelayResult {
	if peer.MaybeSent(err) {
		return send.RelayResult{Outcome: retry.Unknown, Reason: reasonPeerLost, Counted: true}
	}
	return peerFailed
}

func (k *Client) encode(x *send.Relayed) *wire.Exchange {
	h := &x.Request.Header
	m := &wire.Exchange{
		RequestId: string(x.ID), Service: string(x.Service), Configuration: uint64(x.Config), Method: string(h.Method()),
		Uri: append([]byte(nil), h.RequestURI()...), RemainingUs: uint64(max(0, x.Deadline.Sub(k.clock.Now()).Microseconds())),
		BodyFollows: true, BodySize: int64(len(x.Request.Body())), Forwarded: true, ServiceUnreachable: x.ServiceUnreachable, Counted: x.Counted,
	}
	for _, s := range x.SentTo {
		m.SentTo = append(m.SentTo, string(s))
	}
	for n, v := range h.All() {
		m.Headers = append(m.Headers, encodeHeader(n, v))
	}
	return m
}

// read reads the peer's answer, and into resp the response that it has received from a server, for which it reserves memory.
func read(e *peer.Exchange, m *memory.Reservation, resp *fasthttp.Response) (send.RelayResult, error) {
	a, err := e.ReadResponse()
	if err != nil {
		return send.RelayResult{}, err
	}
	r := send.RelayResult{Outcome: retry.Unknown, Reason: a.GetReason(), RetryAfter: time.Duration(a.GetRetryAfterMs()) * time.Millisecond, Counted: a.GetCounted()}
	for _, s := range a.GetSentTo() {
		r.SentTo = append(r.SentTo, ident.Server(s))
	}
	switch a.GetOutcome() {
	case wire.Outcome_OUTCOME_ANSWERED:
		if a.GetStatus() < 200 || a.GetStatus() > 599 {
			return send.RelayResult{}, &peer.Error{Sent: true, Err: errStatus}
		}
		r.Outcome = retry.Answered
	case wire.Outcome_OUTCOME_NOT_RUN:
		r.Outcome = retry.NotRun
		return r, nil
	default:
		return r, nil
	}
	if m.ReserveResponse(int(max(0, min(a.GetBodySize(), maxBodyBytes)))) != nil {
		e.Abort()
		r.Outcome, r.Reason = retry.Unknown, send.ReasonNoMemory
		return r, nil
	}
	b, err := readBody(e, a.GetBodySize())
	if err != nil {
		return send.RelayResult{}, err
	}
	resp.Header.SetNoDefaultContentType(true)
	resp.SetStatusCode(int(a.GetStatus()))
	for _, h := range a.GetHeaders() {
		resp.Header.AddBytesKV(h.GetName(), h.GetValue())
	}
	resp.SwapBody(b)
	return r, nil
}
