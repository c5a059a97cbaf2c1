// Package weightstore is an HTTP client of the store of model weights. The store responds with
// status 429 and Retry-After to calls above its rate limit.
package weightstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
)

const callTimeout = 3 * time.Second

// Client implements external.WeightStore. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ external.WeightStore = (*Client)(nil)

// New returns a client of the store at baseURL, in the form http://host:port.
func New(baseURL string) *Client {
	return &Client{base: baseURL, http: &http.Client{Timeout: callTimeout}}
}

// Describe implements external.WeightStore.
func (c *Client) Describe(ctx context.Context, model string) (external.ModelWeights, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, c.base+"/weights/"+url.PathEscape(model), nil)
	if err != nil {
		return external.ModelWeights{}, eris.Wrap(err, "build weight store request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return external.ModelWeights{}, eris.Wrapf(err, "describe weights of %s", model)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return external.ModelWeights{Model: model, Bytes: resp.ContentLength}, nil
	case http.StatusNotFound:
		return external.ModelWeights{}, external.ErrWeightsNotFound
	case http.StatusTooManyRequests:
		return external.ModelWeights{}, &external.RateLimitedError{RetryAfter: retryAfter(resp.Header, time.Now())}
	default:
		return external.ModelWeights{}, eris.Errorf("describe weights of %s: status %d", model, resp.StatusCode)
	}
}

// retryAfter parses the Retry-After header, which RFC 9110 defines as either seconds or a date. It
// returns 0 for a missing or invalid header.
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
