package grant

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/descr"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
	"heatherrouter/io/paths"
)

const (
	orderDialTimeout = 300 * time.Millisecond

	// backgroundDialTimeout applies to connections that no order waits for, and to releases. A busy server drops the SYN
	// packet of a new connection, which is retransmitted after a second.
	backgroundDialTimeout = 2500 * time.Millisecond

	// spareCheckInterval is the time between checks whether spare connections are open: servers close idle ones.
	spareCheckInterval = time.Second

	releaseTimeout = 10 * time.Second // longest wait for the work on released keys to end

	// maxResponse bounds the body of a response in bytes. What orders and health checks ask for is in its header, and the responses of
	// all servers may be read at once.
	maxResponse = 16 << 10

	// maxReleases is how many releases of one server may be open at the same time. A server that leaves has a dozen ranges,
	// and a release that finds no connection would look like one that the server didn't answer.
	maxReleases = 16
)

// link holds the connections for orders to one incarnation of a server. Grants use a connection of their own, one at a time,
// so that a renewal reaches the incarnation that accepted the grant. Releases use others: a server answers a release only
// when work ends, and that must not delay renewals.
//
// A spare connection for grants is kept open. Servers close the first one now and then, and a busy server takes seconds to
// accept another: without the spare all its keys would expire when most requests need them. Grants on the spare carry a
// higher fence, like those on any new connection. One connection for releases is kept open as well: keys are taken from
// overloaded servers, which reset new connections. It carries one release only, unless the server echoes the ids of orders: a
// late response to an earlier release would pass for the one to the next.
type link struct {
	server       *site.Server
	health       *conns.Pool // for health checks, whose responses must not pass for those to orders
	releases     *conns.Pool
	releaseSlots chan struct{} // semaphore for open releases

	grantMu        sync.Mutex // held for the exchange of one grant
	grants         *conns.Pool
	spare          *conns.Pool
	spareCheckedAt time.Time // when the spare connections were last checked
}

// link returns the link to an incarnation of a server, or nil when its address isn't known.
func (g *Granter) link(l hold.Incarnation) *link {
	s := g.servers[l.Server]
	if s == nil || s.Born != l.Born {
		return nil
	}
	x := g.links[l.Server]
	if x != nil && x.server.Born == s.Born && x.server.Addr == s.Addr {
		return x
	}
	if x != nil {
		g.closeInBackground(x)
	}
	o := conns.Options{
		Addr: s.Addr, MaxConns: 1, DialTimeout: orderDialTimeout, ProbeInterval: conns.NoProbes, MaxBody: maxResponse, Names: conns.NoNames,
		Sockets: g.o.Sockets, SocketUse: descr.Orders,
	}
	x = &link{server: s, health: conns.New(o)}
	o.Names.RequestID = g.o.OrderIDHeader
	x.grants, x.spare = conns.New(o), conns.New(o)
	o.MaxConns, o.DialTimeout, o.ReuseIdentified = maxReleases, backgroundDialTimeout, true
	x.releases, x.releaseSlots = conns.New(o), make(chan struct{}, maxReleases)
	g.links[l.Server] = x
	return x
}

func (x *link) close() {
	x.grantMu.Lock()
	defer x.grantMu.Unlock()
	_ = x.grants.Close() // closes idle connections; one with an order in progress closes after its response
	_ = x.spare.Close()
	_ = x.releases.Close()
	_ = x.health.Close()
}

// forgetServers closes the connections to the servers that have left and that no assignment names, as owner or as previous owner: no order
// is sent to them any more. Servers keep the connections of a coordinator open until they exit, and this side for as long as its term lasts.
func (g *Granter) forgetServers(s *site.Snapshot) {
	assigned := map[ident.Server]bool{}
	for _, x := range g.services {
		for _, p := range x.table.Assignments() {
			assigned[p.Owner.Server], assigned[p.Previous.Server] = true, true
		}
	}
	for id := range g.servers {
		if s.Servers[id] != nil || assigned[id] {
			continue
		}
		delete(g.servers, id)
		if l := g.links[id]; l != nil {
			delete(g.links, id)
			g.closeInBackground(l)
		}
	}
}

// closeInBackground closes a link without waiting for a grant in progress, which holds it until its deadline.
func (g *Granter) closeInBackground(l *link) {
	g.group.Go(func(context.Context) error {
		l.close()
		return nil
	})
}

// refreshSpare reopens lost spare connections in the background. The caller holds l.grantMu.
func (g *Granter) refreshSpare(l *link) {
	now := time.Now()
	if now.Sub(l.spareCheckedAt) < spareCheckInterval {
		return
	}
	l.spareCheckedAt = now
	p := l.spare
	g.group.Go(func(c context.Context) error {
		p.Preconnect(c, now.Add(backgroundDialTimeout)) // a failed attempt is repeated with a later order
		l.releases.Preconnect(c, now.Add(backgroundDialTimeout))
		return nil
	})
}

// sendGrant sends a grant over the connection for grants. If that is lost, the spare replaces it for later grants, which have a higher
// fence.
func (g *Granter) sendGrant(c context.Context, l *link, call conns.Call, req *fasthttp.Request, resp *fasthttp.Response) (r conns.Result, lost bool) {
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	r = l.grants.Do(c, call, req, resp)
	stray := r.Err == nil && resp.StatusCode() == fasthttp.StatusMisdirectedRequest && !r.IsOwn()
	if stray {
		l.grants.CloseIdle()
	}
	noConn := errors.Is(r.Err, conns.ErrNoReuse) && !l.grants.HasIdle() // else a later grant has opened another
	if lost = stray || noConn || r.End == admit.EndReset || r.End == admit.EndEndless; lost {
		l.grants, l.spare = l.spare, l.grants
		l.spareCheckedAt = time.Time{}
	}
	g.refreshSpare(l)
	return r, lost
}

// sendOrder sends an order on a goroutine of its own, which returns the result on g.results.
func (g *Granter) sendOrder(n ident.Service, o hold.Order) {
	inc := incarnationOf(o)
	l := g.link(inc)
	d := orderResult{term: g.term, service: n, order: o, server: inc.Server, result: hold.Result{Outcome: hold.NotSent}}
	if l == nil {
		// Not sent on g.results: this goroutine is its only reader, and would deadlock if the channel were full.
		g.services[n].table.Done(g.o.Clock.Now(), o, d.result)
		return
	}
	g.group.Go(func(c context.Context) error {
		g.exchangeOrder(c, l, &d)
		select {
		case g.results <- d:
		case <-c.Done():
		}
		return nil
	})
}

func incarnationOf(o hold.Order) hold.Incarnation {
	switch x := o.(type) {
	case hold.Grant:
		return x.To
	case hold.Release:
		return x.From
	}
	return hold.Incarnation{}
}

// fillOrder encodes the order into req, with an id that no other order has. A server that echoes it can't free keys by a late copy of its
// response to an earlier release.
func (g *Granter) fillOrder(req *fasthttp.Request, l *link, o hold.Order) {
	switch x := o.(type) {
	case hold.Grant:
		g.o.OrderCodec.Grant(req, x)
	case hold.Release:
		g.o.OrderCodec.Release(req, x)
	}
	req.Header.SetHost(l.server.Addr.String())
	if g.o.OrderIDHeader != "" {
		req.Header.Set(g.o.OrderIDHeader, fmt.Sprintf("%016x", rand.Uint64()))
	}
}

// exchangeOrder sends the order of d to the server and stores the result in d.
func (g *Granter) exchangeOrder(c context.Context, l *link, d *orderResult) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	g.fillOrder(req, l, d.order)
	var call conns.Call
	call.Guard = func() bool { // the process may have been paused since the order was due
		return g.maySendOrder(d.term, d.order) && time.Now().Before(call.Deadline)
	}
	var r conns.Result
	began := g.o.Clock.Now()
	switch x := d.order.(type) {
	case hold.Grant:
		call.Deadline = g.o.Clock.StdTime(x.Ends)
		if x.Renewal {
			call.OnlyOn = conns.ConnNumber(x.Connection)
		}
		r, d.connLost = g.sendGrant(c, l, call, req, resp)
	case hold.Release:
		l.releaseSlots <- struct{}{}
		defer func() { <-l.releaseSlots }()
		call.Deadline = g.releaseDeadline(x.Until)
		r = l.releases.Do(c, call, req, resp)
	}
	d.result, d.err, d.status = g.result(d.order, r, resp), r.Err, resp.StatusCode()
	d.result.Connection = hold.Connection(r.Conn)
	d.identified, d.freshConn = r.Identified, r.Fresh
	d.lostPath = r.End == admit.EndDialFailed || r.End == admit.EndTimeout || r.End == admit.EndReset
	g.observePath(l, r, began)
}

// observePath records what an order says about the path to its server.
func (g *Granter) observePath(l *link, r conns.Result, began mono.Time) {
	switch {
	case r.Err == nil:
		g.o.Paths.Answered(l.server, r.Fresh)
	case r.End == admit.EndDialFailed:
		if f := paths.FailureOf(r.Err, g.o.Clock.Now().Sub(began), orderDialTimeout); f != 0 {
			g.o.Paths.Failed(began, l.server, f)
		}
	case r.End == admit.EndTimeout || r.End == admit.EndReset:
		g.o.Paths.Verify(l.server)
	}
}

func (g *Granter) releaseDeadline(until mono.Time) time.Time {
	now := g.o.Clock.Now()
	return g.o.Clock.StdTime(max(now.Add(g.o.Timing.Timeout), min(until, now.Add(releaseTimeout))))
}

func (g *Granter) result(o hold.Order, r conns.Result, resp *fasthttp.Response) hold.Result {
	if r.Outcome == retry.Unknown {
		return hold.Result{Outcome: hold.Silent}
	}
	if _, ok := o.(hold.Release); r.Err == nil && !r.IsOwn() && (ok || resp.StatusCode() == fasthttp.StatusMisdirectedRequest) {
		return hold.Result{Outcome: hold.Silent} // may be a late response to an earlier order, which would free keys
	}
	if r.Err != nil {
		// A refused connection doesn't prove that the server has ended: a server that is shutting down stops listening while
		// it still works, and a device that isolates a failure domain may refuse connections for servers that run and hold keys.
		return hold.Result{Outcome: hold.NotSent}
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return hold.Result{Outcome: hold.Accepted, Handover: g.o.OrderCodec.Handover(resp)}
	case fasthttp.StatusConflict:
		return hold.Result{Outcome: hold.Outfenced}
	case fasthttp.StatusMisdirectedRequest:
		return hold.Result{Outcome: hold.Ended} // another server uses the address
	}
	return hold.Result{Outcome: hold.Silent}
}
