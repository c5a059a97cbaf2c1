package rolloutctl

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/rollout"
)

const (
	// HeaderProbe is the header that marks a request to an upstream as a probe.
	HeaderProbe = "X-Heatherloom-Probe"
	// maxProbesPerRoute bounds the probes on a route in one reconciliation, to keep them far
	// below the traffic of callers.
	maxProbesPerRoute = 2
	probeTimeout      = 10 * time.Second
	// defaultProbeRoute is the route to probe if no route has traffic.
	defaultProbeRoute = "/v1/completions"
)

// probe sends a few completion requests to the candidate on each route that lacks
// evidence. They belong to no client account.
func (c *Controller) probe(ctx context.Context, r rollout.Rollout, e rollout.Evidence, now time.Time) {
	if c.Probe == nil {
		return
	}
	for route, missing := range c.Timing.Rules.Probes(r, e.Routes, defaultProbeRoute, now) {
		for range min(missing, maxProbesPerRoute) {
			go c.sendProbe(ctx, r, route)
		}
	}
}

func (c *Controller) sendProbe(ctx context.Context, r rollout.Rollout, route string) {
	body, err := json.Marshal(probeBody(r.Target, route))
	if err != nil {
		c.warn("encoding a probe request failed", err)
		return
	}
	c.Probe(ctx, &dispatch.Request{
		ID:         "probe-" + uuid.NewString(),
		Method:     http.MethodPost,
		Path:       route,
		Header:     http.Header{"Content-Type": {"application/json"}, HeaderProbe: {"1"}},
		Body:       body,
		Target:     r.ID(),
		Repeatable: true,
		Probe:      true,
		Deadline:   time.Now().Add(probeTimeout),
	})
}

func probeBody(model, route string) map[string]any {
	body := map[string]any{"model": model, "max_tokens": 1}
	if strings.HasSuffix(route, "/chat/completions") {
		body["messages"] = []map[string]string{{"role": "user", "content": "ping"}}
	} else {
		body["prompt"] = "ping"
	}
	return body
}

// DiscardSink is a sink that discards the response to a probe.
type DiscardSink struct{}

// Head implements dispatch.Sink.
func (DiscardSink) Head(int, http.Header) error { return nil }

// Data implements dispatch.Sink.
func (DiscardSink) Data([]byte) error { return nil }
