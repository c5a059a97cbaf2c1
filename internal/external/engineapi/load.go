// Package engineapi is a client of model engines for everything but inference requests: it reads
// their load in the Prometheus text format, follows their cache events and sends them orders.
package engineapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	dto "github.com/prometheus/client_model/go"

	"heatherloom/internal/external"
)

// Names of the metrics that the gateway reads. All series of a metric are summed, because an
// engine reports one for each model.
const (
	MetricRunning = "vllm:num_requests_running"
	MetricWaiting = "vllm:num_requests_waiting"
)

// cacheMetrics are the names of the metric for the used fraction of the KV cache. The newer name
// comes first.
var cacheMetrics = []string{"vllm:kv_cache_usage_perc", "vllm:gpu_cache_usage_perc"}

const (
	callTimeout = time.Second
	// maxResponseBytes bounds one response. Engines report a few hundred kilobytes.
	maxResponseBytes = 4 << 20
	// maxHeaderBytes bounds a response header; the default of net/http is 10 MB.
	maxHeaderBytes  = 64 << 10
	idleConnTimeout = 90 * time.Second
)

// Client calls engines by their address, in the form host:port. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// streams has no timeout, so that event streams stay open.
	streams *http.Client
}

var (
	_ external.LoadReader    = (*Client)(nil)
	_ external.EngineControl = (*Client)(nil)
)

// New returns a client without open connections.
func New() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{
		http:    &http.Client{Timeout: callTimeout, Transport: transport},
		streams: &http.Client{Transport: transport},
	}
}

// Load implements external.LoadReader. It returns an error if the report does not contain the
// number of running requests.
func (c *Client) Load(ctx context.Context, address string) (external.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return external.Load{}, eris.Wrap(err, "build load request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return external.Load{}, eris.Wrap(err, "read load")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return external.Load{}, eris.Errorf("read load: status %d", resp.StatusCode)
	}
	return parseLoad(io.LimitReader(resp.Body, maxResponseBytes))
}

func parseLoad(r io.Reader) (external.Load, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return external.Load{}, eris.Wrap(err, "parse load")
	}
	running, ok := sum(families[MetricRunning])
	if !ok {
		return external.Load{}, eris.Errorf("parse load: metric %s is missing", MetricRunning)
	}
	waiting, _ := sum(families[MetricWaiting])
	load := external.Load{Running: int(running), Waiting: int(waiting)}
	for _, name := range cacheMetrics {
		if used, ok := highest(families[name]); ok {
			load.KVCacheUsage = used
			break
		}
	}
	return load, nil
}

// sum returns the sum of all series of a family. It returns false if there is none.
func sum(family *dto.MetricFamily) (float64, bool) {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += valueOf(metric)
	}
	return total, len(family.GetMetric()) > 0
}

// highest returns the highest value among the series of a family, but at least 0. It returns false
// if there is no series.
func highest(family *dto.MetricFamily) (float64, bool) {
	top := 0.0
	for _, metric := range family.GetMetric() {
		top = max(top, valueOf(metric))
	}
	return top, len(family.GetMetric()) > 0
}

// valueOf returns the value of a gauge or of a metric without a type.
func valueOf(metric *dto.Metric) float64 {
	if metric.GetGauge() != nil {
		return metric.GetGauge().GetValue()
	}
	return metric.GetUntyped().GetValue()
}
