// Package weightstore reaches the store of model weights over HTTP. Above its rate the
// store answers with status 429 and Retry-After.
package weightstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/platform"
)

const callTimeout = 3 * time.Second

// Client is a platform.WeightStore. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ platform.WeightStore = (*Client)(nil)

// New returns a client of the store at baseURL, as http://host:port.
func New(baseURL string) *Client {
	return &Client{base: baseURL, http: &http.Client{Timeout: callTimeout}}
}

// Describe implements platform.WeightStore.
func (c *Client) Describe(ctx context.Context, model string) (platform.Weights, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, c.base+"/weights/"+url.PathEscape(model), nil)
	if err != nil {
		return platform.Weights{}, eris.Wrap(err, "build weight store request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return platform.Weights{}, eris.Wrapf(err, "read the weights of %s", model)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return platform.Weights{Model: model, Bytes: resp.ContentLength}, nil
	case http.StatusNotFound:
		return platform.Weights{}, platform.ErrNoWeights
	case http.StatusTooManyRequests:
		return platform.Weights{}, &platform.RateLimitedError{RetryAfter: retryAfter(resp.Header, time.Now())}
	default:
		return platform.Weights{}, eris.Errorf("read the weights of %s: status %d", model, resp.StatusCode)
	}
}

// retryAfter reads the header in both forms of RFC 9110, seconds and a date.
func retryAfter(h http.Header, now time.Time) time.Duration {
	text := h.Get("Retry-After")
	if seconds, err := strconv.Atoi(text); err == nil {
		return time.Duration(max(seconds, 0)) * time.Second
	}
	date, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return max(date.Sub(now), 0)
}
