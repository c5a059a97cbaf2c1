// Package httpsd reads the platform's instance list, which is published in the format of
// Prometheus HTTP service discovery.
package httpsd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
)

// Labels of a target group that the gateway uses.
const (
	LabelID            = "instance_id"
	LabelRole          = "role"
	LabelRegion        = "region"
	LabelFailureDomain = "failure_domain"
	LabelState         = "state"
	LabelService       = "service"
	// LabelModels is a comma-separated list of models in the form model@version.
	LabelModels = "models"
)

const (
	callTimeout      = 3 * time.Second
	maxResponseBytes = 16 << 20
)

// TargetGroup is one element of a service discovery response.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Client implements external.InstanceList. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client

	// mu guards the cached list and its entity tag. The list is returned while the server
	// responds with status 304 to the tag.
	mu     sync.Mutex
	etag   string
	cached []external.Instance
}

var _ external.InstanceList = (*Client)(nil)

// New returns a client of the instance list at url.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: callTimeout}}
}

// Instances implements external.InstanceList. It skips groups without an id or a target. The
// caller must not modify the result, because it is cached and returned again while the server
// reports by the entity tag that the list is unchanged.
func (c *Client) Instances(ctx context.Context) ([]external.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build instance list request")
	}
	etag, cached := c.cachedList()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return cached, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("read instance list: status %d", resp.StatusCode)
	}
	var groups []TargetGroup
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&groups); err != nil {
		return nil, eris.Wrap(err, "decode instance list")
	}
	instances := make([]external.Instance, 0, len(groups))
	for _, g := range groups {
		if len(g.Targets) == 0 || g.Labels[LabelID] == "" {
			continue
		}
		instances = append(instances, instanceOf(g))
	}
	c.setCachedList(resp.Header.Get("ETag"), instances)
	return instances, nil
}

func (c *Client) cachedList() (string, []external.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.cached
}

func (c *Client) setCachedList(etag string, instances []external.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.cached = etag, instances
}

func instanceOf(g TargetGroup) external.Instance {
	return external.Instance{
		ID:            g.Labels[LabelID],
		Role:          external.Role(g.Labels[LabelRole]),
		Region:        g.Labels[LabelRegion],
		FailureDomain: g.Labels[LabelFailureDomain],
		Address:       g.Targets[0],
		State:         external.InstanceState(g.Labels[LabelState]),
		Service:       g.Labels[LabelService],
		Models:        splitList(g.Labels[LabelModels]),
	}
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// NewTargetGroup returns the target group of an instance.
func NewTargetGroup(i external.Instance) TargetGroup {
	return TargetGroup{
		Targets: []string{i.Address},
		Labels: map[string]string{
			LabelID:            i.ID,
			LabelRole:          string(i.Role),
			LabelRegion:        i.Region,
			LabelFailureDomain: i.FailureDomain,
			LabelState:         string(i.State),
			LabelService:       i.Service,
			LabelModels:        strings.Join(i.Models, ","),
		},
	}
}
