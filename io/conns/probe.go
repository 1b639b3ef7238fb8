package conns

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
)

// Probe requests the health page on a new connection of its own, which shows whether the server accepts connections.
// Any whole response counts as alive: the content of the page is outdated and unreliable.
func (p *Pool) Probe(deadline time.Time) (admit.ProbeResult, error) {
	sentAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := p.dial(ctx, deadline)
	if err != nil {
		return admit.ProbeResult{}, trace.Wrap(err, "dial %v", p.addr)
	}
	defer c.close()
	h, err := p.health(c, deadline)
	if err == nil {
		p.lastProbe.Store(sentAt.UnixNano())
	}
	return h, err
}

func (p *Pool) health(c *conn, deadline time.Time) (admit.ProbeResult, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.addr)
	req.SetRequestURI(p.options.HealthPath)
	if err := c.probeExchange(p, deadline, req, resp); err != nil {
		return admit.ProbeResult{}, trace.Wrap(err)
	}
	return admit.ProbeResult{Alive: true, Incarnation: incarnation(resp)}, nil
}

// probeExchange runs an exchange that does not count as a response for awaitResponse: a server may serve its health
// page and nothing else.
func (c *conn) probeExchange(p *Pool, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) error {
	call := Call{Deadline: deadline}
	if err := c.send(p, call, req); err != nil {
		return err
	}
	if err := c.read(p, req, resp, deadline, false); err != nil {
		return err
	}
	if resp.ConnectionClose() {
		c.broken = true
	}
	return nil
}

// probeIdle probes idle connections and discards unresponsive ones before a request is sent on them.
func (p *Pool) probeIdle(ctx context.Context) {
	t := time.NewTicker(p.options.ProbeInterval / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range p.takeIdle(now.Add(-p.options.ProbeInterval)) {
				p.probes.Go(func() { p.checkIdle(c) })
			}
		}
	}
}

// takeIdle removes up to maxConcurrentProbes connections that have been idle since before the given time, the longest
// idle first.
func (p *Pool) takeIdle(before time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && n < maxConcurrentProbes && p.idle[n].idleSince.Before(before) {
		n++
	}
	l := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return l
}

const maxConcurrentProbes = 8 // per check of the idle connections

func (p *Pool) checkIdle(c *conn) {
	if !c.alive() {
		p.discardClosed(c)
		return
	}
	if _, err := p.health(c, time.Now().Add(p.options.ProbeTimeout)); err != nil || !c.reusable() {
		p.discard(c)
		return
	}
	p.returnProbed(c)
}

// returnProbed puts a probed connection at the front, as the least recently used one.
func (p *Pool) returnProbed(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append([]*conn{c}, p.idle...)
	p.mu.Unlock()
}
