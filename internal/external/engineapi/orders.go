package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
)

const pathOrders = "/v1/orders"

// Apply implements external.EngineControl.
func (c *Client) Apply(ctx context.Context, address string, o external.EngineOrder) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathOrders, bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "build order request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "send order")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return external.ErrStaleFence
	default:
		return eris.Errorf("send order: status %d", resp.StatusCode)
	}
}

// State implements external.EngineControl.
func (c *Client) State(ctx context.Context, address string) (external.EngineState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathOrders, nil)
	if err != nil {
		return external.EngineState{}, eris.Wrap(err, "build state request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return external.EngineState{}, eris.Wrap(err, "read engine state")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return external.EngineState{}, eris.Errorf("read engine state: status %d", resp.StatusCode)
	}
	var state external.EngineState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&state); err != nil {
		return external.EngineState{}, eris.Wrap(err, "decode engine state")
	}
	return state, nil
}
