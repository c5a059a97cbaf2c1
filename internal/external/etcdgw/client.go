// Package etcdgw is a client of the platform's key-value service. It uses the JSON gateway of the
// etcd v3 API.
package etcdgw

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw/wire"
)

const (
	// callTimeout bounds one call. A healthy service responds within milliseconds.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds one response. The largest is a list of all shards of a base below
	// one prefix.
	maxResponseBytes = 64 << 20
)

// Client implements external.Store. It is safe for concurrent use. It never retries a call: after
// external.ErrUnavailable for a write, the caller must read the key to learn the outcome.
type Client struct {
	base string
	http *http.Client
}

var _ external.Store = (*Client)(nil)

// New returns a client of the gateway at baseURL, in the form http://host:port.
func New(baseURL string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     90 * time.Second,
	}
	return &Client{base: baseURL, http: &http.Client{Transport: transport}}
}

// Get implements external.Store.
func (c *Client) Get(ctx context.Context, key string) (external.Entry, error) {
	var resp wire.RangeResponse
	if err := c.call(ctx, wire.PathRange, wire.RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return external.Entry{}, err
	}
	if len(resp.Kvs) == 0 {
		return external.Entry{Key: key}, nil
	}
	return entryOf(resp.Kvs[0]), nil
}

// List implements external.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]external.Entry, error) {
	return c.readRange(ctx, wire.RangeRequest{Key: []byte(prefix), RangeEnd: wire.PrefixEnd(prefix)})
}

// Range implements external.Store.
func (c *Client) Range(ctx context.Context, start, end string, limit int) ([]external.Entry, error) {
	return c.readRange(ctx, wire.RangeRequest{Key: []byte(start), RangeEnd: []byte(end), Limit: int64(limit)})
}

func (c *Client) readRange(ctx context.Context, req wire.RangeRequest) ([]external.Entry, error) {
	var resp wire.RangeResponse
	if err := c.call(ctx, wire.PathRange, req, &resp); err != nil {
		return nil, err
	}
	entries := make([]external.Entry, 0, len(resp.Kvs))
	for _, kv := range resp.Kvs {
		entries = append(entries, entryOf(kv))
	}
	return entries, nil
}

// Commit implements external.Store.
func (c *Client) Commit(ctx context.Context, conditions []external.Condition, writes []external.Write) (bool, int64, error) {
	var req wire.TxnRequest
	for _, cond := range conditions {
		req.Compare = append(req.Compare, wire.Compare{
			Key:         []byte(cond.Key),
			Target:      wire.TargetMod,
			Result:      wire.ResultEqual,
			ModRevision: cond.ModRevision,
		})
	}
	for _, w := range writes {
		req.Success = append(req.Success, operationOf(w))
	}
	var resp wire.TxnResponse
	if err := c.call(ctx, wire.PathTxn, req, &resp); err != nil {
		return false, 0, err
	}
	return resp.Succeeded, resp.Header.Revision, nil
}

func operationOf(w external.Write) wire.RequestOp {
	if w.Delete {
		return wire.RequestOp{Delete: &wire.DeleteRequest{Key: []byte(w.Key), RangeEnd: []byte(w.RangeEnd)}}
	}
	return wire.RequestOp{Put: &wire.PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease}}
}

// GrantLease implements external.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	var resp wire.LeaseResponse
	req := wire.LeaseRequest{TTL: int64(ttl.Round(time.Second) / time.Second)}
	if err := c.call(ctx, wire.PathGrant, req, &resp); err != nil {
		return 0, err
	}
	return resp.ID, nil
}

// RenewLease implements external.Store.
func (c *Client) RenewLease(ctx context.Context, lease int64) error {
	var resp wire.KeepAliveResponse
	if err := c.call(ctx, wire.PathKeepAlive, wire.LeaseRequest{ID: lease}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return external.ErrLeaseNotFound
	}
	return nil
}

// RevokeLease implements external.Store.
func (c *Client) RevokeLease(ctx context.Context, lease int64) error {
	var resp wire.LeaseResponse
	return c.call(ctx, wire.PathRevoke, wire.LeaseRequest{ID: lease}, &resp)
}

// Watch implements external.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func([]external.WatchEvent)) error {
	req := wire.WatchRequest{Create: wire.WatchCreate{
		Key:           []byte(prefix),
		RangeEnd:      wire.PrefixEnd(prefix),
		StartRevision: from + 1,
	}}
	resp, err := c.post(ctx, wire.PathWatch, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	for {
		var message wire.WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return unavailable(err)
		}
		if message.Result.Canceled {
			return eris.Errorf("watch canceled by the key-value service, compact revision %d", message.Result.CompactRevision)
		}
		if len(message.Result.Events) > 0 {
			fn(eventsOf(message.Result.Events))
		}
	}
}

func eventsOf(in []wire.Event) []external.WatchEvent {
	events := make([]external.WatchEvent, 0, len(in))
	for _, e := range in {
		events = append(events, external.WatchEvent{Entry: entryOf(e.Kv), Deleted: e.Type == wire.EventDelete})
	}
	return events
}

func entryOf(kv wire.KeyValue) external.Entry {
	return external.Entry{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: kv.Lease}
}

// call sends one request and decodes the response within callTimeout.
func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpResp, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	body := io.LimitReader(httpResp.Body, maxResponseBytes)
	if err := json.NewDecoder(body).Decode(resp); err != nil {
		return unavailable(err)
	}
	return nil
}

// post sends one request and returns the response if its status is 200. The request has no
// GetBody, so that net/http does not retry it after a connection error.
func (c *Client) post(ctx context.Context, path string, message any) (*http.Response, error) {
	raw, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrapf(err, "encode request to %s", path)
	}
	body := io.NopCloser(bytes.NewReader(raw))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, body)
	if err != nil {
		return nil, eris.Wrapf(err, "build request to %s", path)
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

func statusError(resp *http.Response) error {
	var status wire.Status
	body := io.LimitReader(resp.Body, 1<<16)
	if err := json.NewDecoder(body).Decode(&status); err == nil && status.Code == wire.CodeNotFound {
		return external.ErrLeaseNotFound
	}
	if status.Code == wire.CodeInvalidArgument {
		// Not ErrUnavailable, because retrying an invalid request cannot succeed.
		return eris.Errorf("key-value service rejected the request: %s", status.Message)
	}
	return unavailable(fmt.Errorf("status %d: %s", resp.StatusCode, status.Message))
}

// unavailable adds external.ErrUnavailable to err.
func unavailable(err error) error {
	return errors.Join(external.ErrUnavailable, err)
}
