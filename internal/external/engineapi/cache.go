package engineapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// PathCacheEvents is the path of the event stream of an engine's prefix cache.
const PathCacheEvents = "/v1/cache/events"

// maxEventBytes bounds one line of the event stream.
const maxEventBytes = 4 << 20

// CacheEvent reports the blocks that an engine added to or evicted from its prefix cache. Blocks
// are identified by the hashes of package promptprefix.
type CacheEvent struct {
	// Sequence increases by 1 with each event; a gap means that events were lost.
	Sequence int64    `json:"-"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents calls fn for each cache event of an engine until ctx ends or the stream
// breaks. It always returns a non-nil error.
func (c *Client) CacheEvents(ctx context.Context, address string, fn func(CacheEvent)) error {
	body, err := c.open(ctx, address, PathCacheEvents)
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
				return eris.Wrap(err, "parse cache event id")
			}
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		event := CacheEvent{Sequence: sequence}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "parse cache event")
		}
		fn(event)
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read cache events")
	}
	return eris.New("engine closed the cache event stream")
}

// open requests a stream, which may be endless, and returns the response body.
func (c *Client) open(ctx context.Context, address, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build cache event request")
	}
	resp, err := c.streams.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "open cache event stream")
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, eris.Errorf("open cache event stream: %s: status %d", path, resp.StatusCode)
	}
	return resp.Body, nil
}
