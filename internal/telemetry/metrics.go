package telemetry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"heatherloom/internal/errkind"
	"heatherloom/internal/invariant"
)

const namespace = "heatherloom"

// KindComplete is the kind label of a request whose whole response was delivered.
const KindComplete errkind.Kind = "complete"

// AccountClass groups client accounts by their configured rate. Metrics are labeled with
// the class instead of the client account: 44,000 accounts would make as many series.
type AccountClass string

// All classes of client accounts.
const (
	// ClassNone is the class of requests without a known client account.
	ClassNone   AccountClass = "none"
	ClassSmall  AccountClass = "small"
	ClassMedium AccountClass = "medium"
	ClassLarge  AccountClass = "large"
)

// Lowest configured rates of the medium and the large class, in requests per second.
const (
	mediumRate = 10
	largeRate  = 100
)

// ClassOf returns the class of a client account with the given rate.
func ClassOf(rate float64) AccountClass {
	switch {
	case rate >= largeRate:
		return ClassLarge
	case rate >= mediumRate:
		return ClassMedium
	default:
		return ClassSmall
	}
}

// Sources holds functions that are called when the metrics are collected. Each must be
// safe for concurrent use.
type Sources struct {
	// InFlight returns the number of requests in progress.
	InFlight       func() float64
	ConfigRevision func() float64
	// ConfigAge returns the age of the configuration in seconds.
	ConfigAge func() float64
	// Peers returns the number of live peers.
	Peers func() float64
	// Quarantined returns the number of quarantined requests.
	Quarantined func() float64
	// Drain holds functions that return how many requests a drain affected, by outcome.
	Drain map[string]func() float64
	// RequestMemory returns the bytes that requests hold, and RequestMemoryLimit those that they may hold.
	RequestMemory, RequestMemoryLimit func() float64
	// Connections holds functions that return the number of open connections, by listener.
	Connections map[string]func() float64
	// LetGo holds functions that return how many callers were let go, by what they held.
	LetGo map[string]func() float64
}

// Metrics holds the metrics of one instance. A nil *Metrics records nothing.
type Metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	firstToken prometheus.Histogram
	duration   *prometheus.HistogramVec
	attempts   *prometheus.CounterVec
	retries    prometheus.Counter
	forwards   *prometheus.CounterVec
	crashes    prometheus.Counter
	left       *prometheus.CounterVec
	tick       prometheus.Histogram
	kinds      map[errkind.Kind]string
}

// Bucket bounds in seconds. They include the target values: 0.52 s to the first token, and
// 50 ms for one tick.
var (
	firstTokenBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.35, 0.52, 0.75, 1, 2, 5, 15, 60}
	durationBuckets   = []float64{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 600}
	tickBuckets       = []float64{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.05, 0.1}
)

// NewMetrics returns metrics that are registered in their own registry.
func NewMetrics(s Sources) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: counterVec("requests_total", "Requests by kind of outcome and class of the client account.", "kind", "account_class"),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds", Buckets: firstTokenBuckets,
			Help: "Time from the receipt of a streaming request to its first token.",
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Buckets: durationBuckets,
			Help: "Time from the receipt of a request to the end of its response.",
		}, []string{"account_class"}),
		attempts: counterVec("attempts_total", "Attempts against upstreams by result.", "kind"),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Attempts after the first one of a request.",
		}),
		left:     counterVec("requests_abandoned_total", "Requests whose callers left, by whether an upstream executed them.", "ran"),
		forwards: counterVec("forwards_total", "Requests passed to another entry instance by result.", "kind"),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "upstream_crashes_total", Help: "Attempts during which this instance saw the upstream crash.",
		}),
		tick: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "tick_seconds", Buckets: tickBuckets, Help: "Duration of one control tick.",
		}),
		kinds: kindLabels(),
	}
	m.registry.MustRegister(m.requests, m.firstToken, m.duration, m.attempts, m.retries, m.forwards, m.crashes, m.left, m.tick,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauges(s)
	m.registerDrain(s)
	m.registerIntake(s)
	m.registerInvariants()
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func kindLabels() map[errkind.Kind]string {
	labels := map[errkind.Kind]string{KindComplete: string(KindComplete)}
	for _, k := range errkind.Kinds() {
		labels[k] = string(k)
	}
	return labels
}

func (m *Metrics) registerGauges(s Sources) {
	gauge := func(name, help string, read func() float64) {
		if read != nil {
			m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
		}
	}
	gauge("requests_in_flight", "Requests that run now, forwarded ones included.", s.InFlight)
	gauge("config_revision", "Revision of the configuration in force.", s.ConfigRevision)
	gauge("config_age_seconds", "Time since the configuration was last known to be the latest one.", s.ConfigAge)
	gauge("peers", "Live peers.", s.Peers)
	gauge("request_memory_bytes", "Memory that connections, heads and bodies of requests hold.", s.RequestMemory)
	gauge("request_memory_limit_bytes", "Memory that connections, heads and bodies of requests may hold.", s.RequestMemoryLimit)
	gauge("quarantined_requests", "Fingerprints of requests, their contents and prompt parts that are rejected because upstreams crashed under them.", s.Quarantined)
}

func (m *Metrics) registerDrain(s Sources) {
	for outcome, read := range s.Drain {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "drain_requests_total", Help: "Requests that the drain of this instance rejected, interrupted or left unanswered.",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}, read))
	}
}

func (m *Metrics) registerIntake(s Sources) {
	for listener, read := range s.Connections {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "connections", Help: "Open connections that a listener has accepted.",
			ConstLabels: prometheus.Labels{"listener": listener},
		}, read))
	}
	for reason, read := range s.LetGo {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "callers_let_go_total", Help: "Requests and connections that were let go to keep the process within its memory and descriptors.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, read))
	}
}

func (m *Metrics) registerInvariants() {
	for _, name := range invariant.Names() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "invariant_violations_total", Help: "Violated invariants of the design page.",
			ConstLabels: prometheus.Labels{"invariant": name.String()},
		}, func() float64 { return float64(invariant.Count(name)) }))
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// kindLabel returns the kind label of k. A kind that is not in errkind.Kinds, which a peer
// may send, counts as internal, so that the number of series stays bounded.
func (m *Metrics) kindLabel(k errkind.Kind) string {
	if text, ok := m.kinds[k]; ok {
		return text
	}
	return string(errkind.Internal)
}

func outcomeKind(err *errkind.Error) errkind.Kind {
	if err == nil {
		return KindComplete
	}
	return err.Kind
}

// RecordRequest counts one finished request; err is nil if its response is complete.
func (m *Metrics) RecordRequest(err *errkind.Error, class AccountClass, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(m.kindLabel(outcomeKind(err)), string(class)).Inc()
	m.duration.WithLabelValues(string(class)).Observe(elapsed.Seconds())
	if err != nil && err.CallerLeft {
		m.left.WithLabelValues(string(err.Execution)).Inc()
	}
}

// RecordFirstToken records the time to the first token of a streamed response.
func (m *Metrics) RecordFirstToken(elapsed time.Duration) {
	if m != nil {
		m.firstToken.Observe(elapsed.Seconds())
	}
}

// RecordAttempt counts one finished attempt against an upstream.
func (m *Metrics) RecordAttempt(err *errkind.Error) {
	if m != nil {
		m.attempts.WithLabelValues(m.kindLabel(outcomeKind(err))).Inc()
	}
}

// RecordForward counts one finished forward to another entry instance.
func (m *Metrics) RecordForward(err *errkind.Error) {
	if m != nil {
		m.forwards.WithLabelValues(m.kindLabel(outcomeKind(err))).Inc()
	}
}

// RecordRetry counts one attempt after the first attempt of a request.
func (m *Metrics) RecordRetry() {
	if m != nil {
		m.retries.Inc()
	}
}

// RecordCrash counts one attempt during which the upstream crashed.
func (m *Metrics) RecordCrash() {
	if m != nil {
		m.crashes.Inc()
	}
}

// RecordTick records the duration of one control tick.
func (m *Metrics) RecordTick(elapsed time.Duration) {
	if m != nil {
		m.tick.Observe(elapsed.Seconds())
	}
}
