// Package meter records the daemon's OpenTelemetry metrics and serves them in Prometheus format.
package meter

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"heatherrouter/core/ident"
)

// Meter records the metrics of one daemon. It is safe for concurrent use.
type Meter struct {
	provider   *sdk.MeterProvider
	meter      metric.Meter
	answers    metric.Int64Counter
	latency    metric.Float64Histogram
	crashes    metric.Int64Counter
	retries    metric.Int64Counter
	relays     metric.Int64Counter
	delegated  metric.Int64Counter
	shortages  metric.Int64Counter
	noMemory   metric.Int64Counter
	handler    fasthttp.RequestHandler
	attributes sync.Map // answerKey -> metric.MeasurementOption
}

// answerKey holds the attributes of a final answer.
type answerKey struct {
	service ident.Service
	kind    string
	outcome string
	reason  string
}

// New returns a Meter with a registry of its own.
func New() (*Meter, error) {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := sdk.NewMeterProvider(sdk.WithReader(e))
	m := &Meter{provider: p, meter: p.Meter("heatherrouter")}
	m.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	m.answers, err = m.meter.Int64Counter("heatherrouter.answers",
		metric.WithDescription("final answers to callers, by what is certain about the request"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.crashes, err = m.meter.Int64Counter("heatherrouter.server.crashes",
		metric.WithDescription("backend servers found down right after runs at them broke off"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.relays, err = m.meter.Int64Counter("heatherrouter.relays",
		metric.WithDescription("requests handed to peers because this daemon can't reach the servers, by what the peer answered"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.delegated, err = m.meter.Int64Counter("heatherrouter.delegated",
		metric.WithDescription("requests handed to the daemon that sends to their server, by what it answered"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.shortages, err = m.meter.Int64Counter("heatherrouter.shortages",
		metric.WithDescription("requests refused because their service is short of capacity"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.retries, err = m.meter.Int64Counter("heatherrouter.retries",
		metric.WithDescription("sends beyond the first of each request, by how the one before ended and whether the retry budget allowed it"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.noMemory, err = m.meter.Int64Counter("heatherrouter.buffers.refused",
		metric.WithDescription("requests whose bodies were not read for lack of memory, by priority"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.latency, err = m.meter.Float64Histogram("heatherrouter.answer.time", metric.WithUnit("s"),
		metric.WithDescription("from a request's arrival to the head of its final answer"),
		metric.WithExplicitBucketBoundaries(0.0005, 0.001, 0.002, 0.004, 0.009, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10))
	return m, trace.Wrap(err)
}

// Page returns the handler that serves the metrics page.
func (m *Meter) Page() fasthttp.RequestHandler {
	return m.handler
}

// RecordAnswer counts a final answer and records its latency.
func (m *Meter) RecordAnswer(s ident.Service, kind, outcome, reason string, took time.Duration) {
	k := answerKey{service: s, kind: kind, outcome: outcome, reason: reason}
	o, ok := m.attributes.Load(k)
	if !ok {
		o, _ = m.attributes.LoadOrStore(k, metric.WithAttributeSet(attribute.NewSet(
			attribute.String("service", string(s)), attribute.String("kind", kind),
			attribute.String("outcome", outcome), attribute.String("reason", reason),
		)))
	}
	x := o.(metric.MeasurementOption) //nolint:errcheck,forcetypeassert // all values of the map have this type
	m.answers.Add(context.Background(), 1, x)
	m.latency.Record(context.Background(), took.Seconds(), x)
}

// RecordCrash counts a crash of a backend server that this daemon detected.
func (m *Meter) RecordCrash(s ident.Service) {
	m.crashes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", string(s))))
}

// RecordRelay counts a request that was handed to a peer. The reason is empty if a server answered it.
func (m *Meter) RecordRelay(s ident.Service, outcome, reason string) {
	m.relays.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", string(s)), attribute.String("outcome", outcome), attribute.String("reason", reason),
	))
}

// RecordDelegated counts a request that was handed to the daemon that sends to its server. The reason is empty if a server
// answered it.
func (m *Meter) RecordDelegated(s ident.Service, outcome, reason string) {
	m.delegated.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", string(s)), attribute.String("outcome", outcome), attribute.String("reason", reason),
	))
}

// RecordRetry counts a send beyond the first of its request, or one that the retry budget did not allow.
func (m *Meter) RecordRetry(s ident.Service, cause string, allowed bool) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", string(s)), attribute.String("cause", cause), attribute.Bool("allowed", allowed),
	))
}

// RecordShortage counts a request that was refused for lack of capacity.
func (m *Meter) RecordShortage(s ident.Service, route string, priority int, reason string) {
	m.shortages.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", string(s)), attribute.String("kind", route), attribute.Int("priority", priority), attribute.String("reason", reason),
	))
}

// RecordNoMemory counts a request that was refused for lack of memory.
func (m *Meter) RecordNoMemory(priority int) {
	m.noMemory.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("priority", priority)))
}

// Gauge adds a gauge whose value is read whenever the metrics page is served.
func (m *Meter) Gauge(name, unit, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return trace.Wrap(err)
}

// Stop shuts the metrics provider down.
func (m *Meter) Stop(c context.Context) error {
	return trace.Wrap(m.provider.Shutdown(c))
}
