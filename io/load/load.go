// Package load sends requests to a set of addresses and measures the responses, for the benchmarks and the demo.
package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	maxLatency        = int64(30 * time.Second / time.Microsecond) // in microseconds
	significantDigits = 3
	requestTimeout    = 30 * time.Second
)

// Plan describes a load to run.
type Plan struct {
	Addrs    []string                            // HOST:PORT; assigned to the callers in turn
	Callers  int                                 // concurrent callers; each waits for a response before its next request
	Duration time.Duration                       // after which no further request is sent
	Rate     int                                 // requests per second of all callers; 0 for no limit
	Request  func(n uint64, r *fasthttp.Request) // fills in request n, except for its host, which Run sets
	Pick     func(n uint64) int                  // returns the index of the address for request n; nil for a fixed address per caller
}

// Result is the outcome of a load.
type Result struct {
	Sent      uint64         // requests sent, including those that failed
	Statuses  map[int]uint64 // responses by status code
	Errors    uint64         // requests without a response
	LastError error
	Elapsed   time.Duration
	Latencies *hdrhistogram.Histogram // in microseconds
}

// PerSecond returns the requests sent per second, including those that failed.
func (r Result) PerSecond() float64 {
	return float64(r.Sent) / r.Elapsed.Seconds()
}

// Quantile returns the latency at the percentile q, from 0 to 100.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(q)) * time.Microsecond
}

// OK returns an error unless every request was answered with status 200.
func (r Result) OK() error {
	if r.Errors > 0 || r.Statuses[fasthttp.StatusOK] != r.Sent {
		return fmt.Errorf("load failed: %d errors, statuses %v of %d requests, last error: %w", r.Errors, r.Statuses, r.Sent, r.LastError)
	}
	return nil
}

func newResult() Result {
	return Result{Statuses: map[int]uint64{}, Latencies: hdrhistogram.New(1, maxLatency, significantDigits)}
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

// Run sends the load and returns its result at the end. With a rate, latency is measured from the time at which a request was
// due. Otherwise a stall would be hidden, because it also delays the following requests.
func Run(p Plan) Result {
	clients := make([]*fasthttp.HostClient, len(p.Addrs))
	for i, a := range p.Addrs {
		clients[i] = &fasthttp.HostClient{
			Addr: a, MaxConns: p.Callers * 2, MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		}
		defer clients[i].CloseIdleConnections()
	}
	parts := make([]Result, p.Callers)
	start := time.Now()
	var w sync.WaitGroup
	for i := range parts {
		w.Go(func() { parts[i] = p.runCaller(clients, uint64(i), start) })
	}
	w.Wait()
	out := newResult()
	for _, x := range parts {
		out.add(x)
	}
	out.Elapsed = time.Since(start)
	return out
}

// runCaller sends every Callers-th request, starting with the given one.
func (p Plan) runCaller(l []*fasthttp.HostClient, first uint64, start time.Time) Result {
	out := newResult()
	c := l[first%uint64(len(l))]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	for n := first; time.Since(start) < p.Duration; n += uint64(p.Callers) {
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
		_ = out.Latencies.RecordValue(max(1, time.Since(due).Microseconds())) // a latency beyond the range is not recorded
	}
	return out
}
