package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// usageDelayBuckets are bucket bounds in seconds. They include the default time by which usage is due.
var usageDelayBuckets = []float64{1, 2, 3, 4, 6, 8, 10, 15, 30, 60}

// OrderedCapacity is the number of upstreams of a service that this instance ordered in a failure domain.
type OrderedCapacity struct {
	Service       string
	FailureDomain string
	Upstreams     int
}

// DutySources holds functions that are called when the metrics are collected. Each must be safe for
// concurrent use.
type DutySources struct {
	// Held returns 1 while this instance holds a duty, else 0, by the name of the duty.
	Held map[string]func() float64
	// Windows returns how many windows of usage this instance has reported or left out, by outcome; nil
	// for none.
	Windows func() map[string]int64
	// Ordered returns the orders of this instance, none unless it holds the duty; nil for none.
	Ordered func() []OrderedCapacity
}

// DutyMetrics holds the metrics of calls to the platform that one instance makes at a time. They are
// registered only where the settings name such calls. A nil *DutyMetrics records nothing.
type DutyMetrics struct {
	calls *prometheus.CounterVec
	delay prometheus.Histogram
}

// RegisterDuties adds the metrics of duties. It must be called at most once.
func (m *Metrics) RegisterDuties(s DutySources) *DutyMetrics {
	d := &DutyMetrics{
		calls: counterVec("duty_calls_total", "Calls to the duty API by duty and outcome.", "duty", "outcome"),
		delay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "usage_delay_seconds", Buckets: usageDelayBuckets,
			Help: "Time from the end of a window until its usage was accepted.",
		}),
	}
	m.registry.MustRegister(d.calls, d.delay)
	for duty, read := range s.Held {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "duty_held", Help: "1 while this instance holds the duty.",
			ConstLabels: prometheus.Labels{"duty": duty},
		}, read))
	}
	if s.Windows != nil {
		m.registry.MustRegister(windowsCollector(s.Windows))
	}
	if s.Ordered != nil {
		m.registry.MustRegister(orderedCollector(s.Ordered))
	}
	return d
}

// RecordCall counts one call to the duty API.
func (d *DutyMetrics) RecordCall(duty, outcome string) {
	if d != nil {
		d.calls.WithLabelValues(duty, outcome).Inc()
	}
}

// RecordUsageDelay records the time from the end of a window until its usage was accepted.
func (d *DutyMetrics) RecordUsageDelay(delay time.Duration) {
	if d != nil {
		d.delay.Observe(delay.Seconds())
	}
}

var windowsDesc = prometheus.NewDesc(namespace+"_usage_windows_total",
	"Windows of usage that this instance reported or left out, by outcome.", []string{"outcome"}, nil)

// windowsCollector collects the windows by outcome.
type windowsCollector func() map[string]int64

// Describe implements prometheus.Collector.
func (windowsCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- windowsDesc }

// Collect implements prometheus.Collector.
func (c windowsCollector) Collect(metrics chan<- prometheus.Metric) {
	for outcome, n := range c() {
		metrics <- prometheus.MustNewConstMetric(windowsDesc, prometheus.CounterValue, float64(n), outcome)
	}
}

var orderedDesc = prometheus.NewDesc(namespace+"_capacity_ordered",
	"Upstreams that this instance ordered, while it holds the duty.", []string{"service", "failure_domain"}, nil)

// orderedCollector collects the current orders, so that those of a former holder vanish with its duty.
type orderedCollector func() []OrderedCapacity

// Describe implements prometheus.Collector.
func (orderedCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- orderedDesc }

// Collect implements prometheus.Collector.
func (c orderedCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, o := range c() {
		metrics <- prometheus.MustNewConstMetric(orderedDesc, prometheus.GaugeValue, float64(o.Upstreams), o.Service, o.FailureDomain)
	}
}
