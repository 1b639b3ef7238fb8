package grant

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
)

const (
	orderDial = 300 * time.Millisecond

	// patientDial is for connections that no order waits for, or one that may wait. A server that is busy drops the opening
	// packet of a new connection, which is sent again after a second.
	patientDial = 2500 * time.Millisecond

	// spareEvery is how often a look is taken whether the connections kept for later are still open: servers close idle ones.
	spareEvery = time.Second

	releaseOver = 10 * time.Second // at most, for the work on released keys to end

	// maxReleases is how many releases of one server may wait for work to end at the same time. A server that leaves has a
	// dozen ranges; one release that found no connection would be taken for a server that doesn't answer.
	maxReleases = 16
)

// link is the connections for orders to one life of a server. Grants have one of their own, on which each follows the
// answer to the last, so that a renewal reaches the life that took the grant; a release is answered only when work ends,
// and must not hold up renewals.
//
// A second connection for grants is kept open. Servers close the first one now and then, and a busy server takes seconds to
// accept the next: without the spare all its keys lapse just when most requests come for them. What goes over it bears a
// higher fence, like all that goes over a new connection. One for releases is kept open as well: keys are taken from servers
// that are overrun, and those reset new connections.
type link struct {
	server   *site.Server
	releases *conns.Pool
	room     chan struct{} // for releases

	turn   sync.Mutex // one order for grants at a time
	grants *conns.Pool
	spare  *conns.Pool
	looked time.Time // at the spare
}

// link returns the link to a server's life, or nil when its address isn't known.
func (g *Granter) link(l hold.Incarnation) *link {
	s := g.lives[l.Server]
	if s == nil || s.Born != l.Born {
		return nil
	}
	x := g.links[l.Server]
	if x != nil && x.server.Born == s.Born && x.server.Addr == s.Addr {
		return x
	}
	if x != nil {
		x.close()
	}
	o := conns.Options{Addr: s.Addr, MaxConns: 1, DialTimeout: orderDial, ProbeInterval: conns.NoProbes, Names: conns.NoNames}
	x = &link{server: s, grants: conns.New(o), spare: conns.New(o)}
	o.MaxConns, o.DialTimeout = maxReleases, patientDial
	x.releases, x.room = conns.New(o), make(chan struct{}, maxReleases)
	g.links[l.Server] = x
	return x
}

func (x *link) close() {
	x.turn.Lock()
	defer x.turn.Unlock()
	_ = x.grants.Close() // ends idle connections; an order under way ends with its answer
	_ = x.spare.Close()
	_ = x.releases.Close()
}

// keepSpare opens the connections that are kept for later orders in the background if they are gone; the caller has the
// turn.
func (g *Granter) keepSpare(l *link) {
	now := time.Now()
	if now.Sub(l.looked) < spareEvery {
		return
	}
	l.looked = now
	p := l.spare
	g.group.Go(func(c context.Context) error {
		p.Preconnect(c, now.Add(patientDial)) // one that isn't opened is tried again with a later order
		l.releases.Preconnect(c, now.Add(patientDial))
		return nil
	})
}

// grant sends a grant over the connection for grants. Once that is lost the spare takes its place; a renewal isn't sent
// over it, and what follows has a higher fence.
func (g *Granter) grant(c context.Context, l *link, call conns.Call, req *fasthttp.Request, resp *fasthttp.Response) (r conns.Result, lost bool) {
	l.turn.Lock()
	defer l.turn.Unlock()
	r = l.grants.Do(c, call, req, resp)
	if lost = errors.Is(r.Err, conns.ErrNoReuse) || r.End == admit.EndReset; lost {
		l.grants, l.spare = l.spare, l.grants
		l.looked = time.Time{}
	}
	g.keepSpare(l)
	return r, lost
}

// send carries out an order on a goroutine of its own; its end comes back over the ring.
func (g *Granter) send(n ident.Service, o hold.Order) {
	life := lifeOf(o)
	l := g.link(life)
	d := done{term: g.term, service: n, order: o, server: life.Server, result: hold.Result{Outcome: hold.NotSent}}
	if l == nil {
		// Not over the ring: the duty itself may fill it here, and nobody would empty it.
		g.services[n].table.Done(g.o.Clock.Now(), o, d.result)
		return
	}
	g.group.Go(func(c context.Context) error {
		g.order(c, l, &d)
		select {
		case g.results <- d:
		case <-c.Done():
		}
		return nil
	})
}

func lifeOf(o hold.Order) hold.Incarnation {
	switch x := o.(type) {
	case hold.Grant:
		return x.To
	case hold.Release:
		return x.From
	}
	return hold.Incarnation{}
}

// order makes one exchange with a server.
func (g *Granter) order(c context.Context, l *link, d *done) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(l.server.Addr.String())
	var call conns.Call
	call.Guard = func() bool { // the process may have stood still since the order was due
		return g.mayOrder(d.term) && time.Now().Before(call.Deadline)
	}
	var r conns.Result
	switch x := d.order.(type) {
	case hold.Grant:
		g.o.Speaker.Grant(req, x)
		call.Deadline, call.ReuseOnly = g.o.Clock.StdTime(x.Ends), x.Renewal
		r, d.lost = g.grant(c, l, call, req, resp)
	case hold.Release:
		g.o.Speaker.Release(req, x)
		l.room <- struct{}{}
		defer func() { <-l.room }()
		call.Deadline = g.releaseDeadline(x.Until)
		r = l.releases.Do(c, call, req, resp)
	}
	d.result, d.err, d.status = g.result(d.order, r, resp), r.Err, resp.StatusCode()
}

func (g *Granter) releaseDeadline(until mono.Time) time.Time {
	now := g.o.Clock.Now()
	return g.o.Clock.StdTime(max(now.Add(g.o.Terms.Timeout), min(until, now.Add(releaseOver))))
}

func (g *Granter) result(o hold.Order, r conns.Result, resp *fasthttp.Response) hold.Result {
	if r.Outcome == retry.Unknown {
		return hold.Result{Outcome: hold.Silent}
	}
	if r.Err != nil {
		// A refused connection proves nothing: a server that leaves stops to listen while it still works, and what cuts a
		// failure domain off may refuse in the name of servers that live and hold their keys.
		return hold.Result{Outcome: hold.NotSent}
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return hold.Result{Outcome: hold.Accepted, Handover: g.o.Speaker.Handover(resp)}
	case fasthttp.StatusConflict:
		return hold.Result{Outcome: hold.Outfenced}
	case fasthttp.StatusMisdirectedRequest:
		return hold.Result{Outcome: hold.Ended} // another server has the address
	}
	if _, ok := o.(hold.Release); ok && g.o.Speaker.Foreign(resp) {
		return hold.Result{Outcome: hold.Ended}
	}
	return hold.Result{Outcome: hold.Silent}
}
