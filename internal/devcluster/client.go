package devcluster

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Client is a client of the gateway with failover, as clients should implement it: it
// reads the list of entry instances from GET /v1/entries and, after a failure, retries
// requests that are safe to repeat on the next one. It is safe for concurrent use.
type Client struct {
	client *http.Client

	mu      sync.Mutex
	entries []string
}

// NewClient reads the list of entry instances from the one at url. A request without a
// complete response within timeout counts as failed on its entry instance.
func NewClient(ctx context.Context, url string, timeout time.Duration) (*Client, error) {
	c := &Client{client: &http.Client{Timeout: timeout}}
	entries, err := ListEntries(ctx, c.client, url)
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, eris.Errorf("%s lists no entry instance", url)
	}
	c.entries = entries
	return c, nil
}

// ListEntries returns the URLs that GET /v1/entries of an entry instance lists, in the
// order in which to try them.
func ListEntries(ctx context.Context, client *http.Client, url string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/entries", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build entries request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read entries")
	}
	defer resp.Body.Close()
	var list struct {
		Entries []struct {
			URL string `json:"url"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, eris.Wrap(err, "decode entries")
	}
	urls := make([]string, 0, len(list.Entries))
	for _, e := range list.Entries {
		urls = append(urls, e.URL)
	}
	return urls, nil
}

// NextEntryURL returns the URL of the entry instance to which the next request is sent.
func (c *Client) NextEntryURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[0]
}

func (c *Client) entryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}

// moveToEnd moves an entry instance to the end of the list, unless another one is first
// by now.
func (c *Client) moveToEnd(url string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[0] == url {
		c.entries = append(c.entries[1:], url)
	}
}

// Send sends a request until it gets a response, must not be repeated, or has failed
// once for each entry instance. It returns the outcome of each attempt. A write without
// a complete response is not repeated, because it may have been executed.
func (c *Client) Send(ctx context.Context, r Request) []Outcome {
	var outcomes []Outcome
	for range c.entryCount() {
		url := c.NextEntryURL()
		outcome := Send(ctx, c.client, url, r)
		outcomes = append(outcomes, outcome)
		if outcome.Result != ResultIncomplete || r.IsWrite() {
			return outcomes
		}
		c.moveToEnd(url)
	}
	return outcomes
}
