package conns

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
)

// Probe asks for the health page on a new connection of its own, so that it finds out whether the server
// takes new ones. Any whole answer counts as alive: what the page says lags and misleads.
func (p *Pool) Probe(deadline time.Time) (admit.ProbeResult, error) {
	asked := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := p.dial(ctx, deadline)
	if err != nil {
		return admit.ProbeResult{}, trace.Wrap(err, "dial %v", p.addr)
	}
	defer c.close()
	h, err := p.health(c, deadline)
	if err == nil {
		p.probed.Store(asked.UnixNano())
	}
	return h, err
}

func (p *Pool) health(c *conn, deadline time.Time) (admit.ProbeResult, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.addr)
	req.SetRequestURI(p.options.HealthPath)
	if err := c.ask(p, deadline, req, resp); err != nil {
		return admit.ProbeResult{}, trace.Wrap(err)
	}
	return admit.ProbeResult{Alive: true, Incarnation: incarnation(resp)}, nil
}

// ask is an exchange that doesn't count for others: health pages are answered also by servers that answer
// nothing else.
func (c *conn) ask(p *Pool, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) error {
	call := Call{Deadline: deadline}
	if err := c.send(p, call, req); err != nil {
		return err
	}
	if err := c.read(p, req, resp, false); err != nil {
		return err
	}
	if resp.ConnectionClose() {
		c.broken = true
	}
	return nil
}

// probeIdle replaces idle connections that went silent before a request has to find out.
func (p *Pool) probeIdle(ctx context.Context) {
	t := time.NewTicker(p.options.ProbeEvery / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range p.takeIdle(now.Add(-p.options.ProbeEvery)) {
				p.probes.Go(func() { p.check(c) })
			}
		}
	}
}

// takeIdle takes out a few connections that were idle since before the time, the longest idle first.
func (p *Pool) takeIdle(before time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && n < maxProbes && p.idle[n].idleSince.Before(before) {
		n++
	}
	l := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return l
}

const maxProbes = 8 // at once

func (p *Pool) check(c *conn) {
	if !c.alive() {
		p.lost(c)
		return
	}
	if _, err := p.health(c, time.Now().Add(p.options.ProbeTimeout)); err != nil || !c.reusable() {
		p.discard(c)
		return
	}
	p.putBack(c)
}

// putBack returns a probed connection to the front: it isn't the one used last.
func (p *Pool) putBack(c *conn) {
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
