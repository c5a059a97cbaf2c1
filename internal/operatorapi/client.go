package operatorapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"heatherloom/internal/timeline"
)

// maxResponseBytes bounds the size of a response. The events of a full recorder take less
// than 16 MB.
const maxResponseBytes = 32 << 20

// Client calls the operator listener of one instance.
type Client struct {
	// URL is the base URL, for example http://127.0.0.1:9003.
	URL string
	// Token is the operator credential.
	Token string
	HTTP  *http.Client
}

// Status calls GET /v1/status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status")
}

// Events calls GET /v1/events for the events with a clock reading above since.
func (c *Client) Events(ctx context.Context, since timeline.Stamp) (Events, error) {
	return call[Events](ctx, c, http.MethodGet, "/v1/events?since="+url.QueryEscape(since.String()))
}

// StartDrain calls POST /v1/drain.
func (c *Client) StartDrain(ctx context.Context) (DrainStatus, error) {
	return call[DrainStatus](ctx, c, http.MethodPost, "/v1/drain")
}

// DrainStatus calls GET /v1/drain.
func (c *Client) DrainStatus(ctx context.Context) (DrainStatus, error) {
	return call[DrainStatus](ctx, c, http.MethodGet, "/v1/drain")
}

func call[T any](ctx context.Context, c *Client, method, path string) (T, error) {
	var value T
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, nil)
	if err != nil {
		return value, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return value, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return value, fmt.Errorf("%s %s: %w", method, req.URL, err)
	}
	if resp.StatusCode/100 != 2 {
		return value, responseError(method, req.URL.String(), resp.Status, raw)
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return value, fmt.Errorf("%s %s: %w", method, req.URL, err)
	}
	return value, nil
}

func responseError(method, url, status string, raw []byte) error {
	var body ErrorResponse
	if json.Unmarshal(raw, &body) == nil && body.Error != "" {
		return fmt.Errorf("%s %s: %s: %s", method, url, status, body.Error)
	}
	return fmt.Errorf("%s %s: %s", method, url, status)
}
