// Package load sends requests to one address and measures their answers, for the bench and the demo.
package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	maxLatency = int64(30 * time.Second / time.Microsecond)
	digits     = 3
	timeout    = 30 * time.Second
)

// Plan is one load.
type Plan struct {
	Addrs   []string // HOST:PORT, taken in turn
	Callers int      // each sends its next request when the last is answered
	Length  time.Duration
	Rate    int                                 // requests a second over all callers; 0 for as many as go
	Request func(n uint64, r *fasthttp.Request) // fills request n; the host is set
	Pick    func(n uint64) int                  // address of request n; nil for each caller to keep to one
}

// Result is what came back.
type Result struct {
	Sent      uint64
	Statuses  map[int]uint64
	Errors    uint64
	LastError error
	Took      time.Duration
	Latencies *hdrhistogram.Histogram // in microseconds
}

// PerSecond returns the requests answered in a second.
func (r Result) PerSecond() float64 {
	return float64(r.Sent) / r.Took.Seconds()
}

// Quantile returns a latency.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(q)) * time.Microsecond
}

// OK reports whether every request was answered with status 200.
func (r Result) OK() error {
	if r.Errors > 0 || r.Statuses[fasthttp.StatusOK] != r.Sent {
		return fmt.Errorf("%d errors, statuses %v of %d requests, last error %w", r.Errors, r.Statuses, r.Sent, r.LastError)
	}
	return nil
}

func newResult() Result {
	return Result{Statuses: map[int]uint64{}, Latencies: hdrhistogram.New(1, maxLatency, digits)}
}

func (r *Result) add(o Result) {
	r.Sent += o.Sent
	r.Errors += o.Errors
	if o.LastError != nil {
		r.LastError = o.LastError
	}
	for k, v := range o.Statuses {
		r.Statuses[k] += v
	}
	r.Latencies.Merge(o.Latencies)
}

// Run sends the load and returns when it is over. With a rate, a request's latency counts from when it was due, so
// that a stall is not hidden by the requests that it kept from being sent.
func Run(p Plan) Result {
	clients := make([]*fasthttp.HostClient, len(p.Addrs))
	for i, a := range p.Addrs {
		clients[i] = &fasthttp.HostClient{
			Addr: a, MaxConns: p.Callers * 2, MaxIdemponentCallAttempts: 1, ReadTimeout: timeout, WriteTimeout: timeout,
		}
		defer clients[i].CloseIdleConnections()
	}
	parts := make([]Result, p.Callers)
	start := time.Now()
	var w sync.WaitGroup
	for i := range parts {
		w.Go(func() { parts[i] = p.caller(clients, uint64(i), start) })
	}
	w.Wait()
	out := newResult()
	for _, x := range parts {
		out.add(x)
	}
	out.Took = time.Since(start)
	return out
}

// caller sends every Callers-th request.
func (p Plan) caller(l []*fasthttp.HostClient, first uint64, start time.Time) Result {
	out := newResult()
	c := l[first%uint64(len(l))]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	for n := first; time.Since(start) < p.Length; n += uint64(p.Callers) {
		due := time.Now()
		if p.Rate > 0 {
			due = start.Add(time.Duration(float64(n) / float64(p.Rate) * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
		if p.Pick != nil {
			c = l[p.Pick(n)]
		}
		req.Reset()
		p.Request(n, req)
		req.Header.SetHost(c.Addr)
		err := c.Do(req, resp)
		out.Sent++
		if err != nil {
			out.Errors++
			out.LastError = err
			continue
		}
		out.Statuses[resp.StatusCode()]++
		_ = out.Latencies.RecordValue(max(1, time.Since(due).Microseconds())) // beyond the range is the range's end
	}
	return out
}
