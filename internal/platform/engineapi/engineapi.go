// Package engineapi reads the load of an engine in the Prometheus text format and its
// cache events as server-sent events.
package engineapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"heatherloom/internal/platform"
)

// Names of the metrics that the gateway reads.
const (
	MetricRunning   = "vllm:num_requests_running"
	MetricWaiting   = "vllm:num_requests_waiting"
	MetricCacheUsed = "vllm:kv_cache_usage_perc"
)

// PathCacheEvents is the path of the stream of cache events.
const PathCacheEvents = "/v1/cache/events"

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 1 << 20
	maxEventBytes    = 4 << 20
)

// Client reads from any number of engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

var _ platform.LoadReporter = (*Client)(nil)

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 90 * time.Second}}}
}

// Load implements platform.LoadReporter.
func (c *Client) Load(ctx context.Context, address string) (platform.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.get(ctx, address, "/metrics")
	if err != nil {
		return platform.Load{}, err
	}
	defer body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return platform.Load{}, eris.Wrap(err, "parse metrics")
	}
	value := func(name string) float64 {
		sum := 0.0
		for _, m := range families[name].GetMetric() {
			sum += m.GetUntyped().GetValue() + m.GetGauge().GetValue()
		}
		return sum
	}
	return platform.Load{
		Running:   int(value(MetricRunning)),
		Waiting:   int(value(MetricWaiting)),
		CacheUsed: value(MetricCacheUsed),
	}, nil
}

// CacheEvent reports blocks that an engine added to its prefix cache or dropped from
// it, by the hashes of package promptprefix.
type CacheEvent struct {
	// Sequence grows by 1 with each event; a gap means that events were lost.
	Sequence int64    `json:"-"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents calls fn for each cache event of an engine until ctx ends or the stream
// breaks. It always returns a non-nil error.
func (c *Client) CacheEvents(ctx context.Context, address string, fn func(CacheEvent)) error {
	body, err := c.get(ctx, address, PathCacheEvents)
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	var sequence int64
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if sequence, err = strconv.ParseInt(id, 10, 64); err != nil {
				return eris.Wrap(err, "parse the id of a cache event")
			}
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		event := CacheEvent{Sequence: sequence}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "parse a cache event")
		}
		fn(event)
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read cache events")
	}
	return eris.New("the engine ended its stream of cache events")
}

func (c *Client) get(ctx context.Context, address, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build a request to the engine")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call the engine")
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, eris.Errorf("the engine answered %s with status %d", path, resp.StatusCode)
	}
	return resp.Body, nil
}
