// Package fleetstatus collects the status of all entry instances from their operator
// listeners.
package fleetstatus

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/operatorapi"
)

const (
	callTimeout = 2 * time.Second
	// maxCalls bounds the concurrent calls. 920 instances that do not respond take 15
	// rounds of callTimeout.
	maxCalls = 64
)

// Instance is one entry instance and its response.
type Instance struct {
	// ID is empty if the instance gave no response and no other response lists its URL as
	// that of a peer.
	ID  string
	URL string
	// Status is nil if the instance gave no valid response.
	Status *operatorapi.Status
	// Err says why Status is nil.
	Err error
}

// Name returns the instance ID, or the URL if the ID is not known.
func (i Instance) Name() string {
	if i.ID == "" {
		return i.URL
	}
	return i.ID
}

// ClientFunc returns a client of the operator listener at a base URL.
type ClientFunc func(url string) *operatorapi.Client

// Collect fetches the status from the operator listeners at the base URLs and from all
// peers that the responses list. It returns each instance once, ordered by name.
func Collect(ctx context.Context, newClient ClientFunc, urls []string) []Instance {
	c := collection{byURL: map[string]*Instance{}, seenIDs: map[string]bool{}}
	for _, url := range urls {
		c.add("", url)
	}
	for len(c.pending) > 0 {
		batch := c.pending
		c.pending = nil
		fetchAll(ctx, newClient, batch)
		for _, instance := range batch {
			c.addResponse(instance)
		}
	}
	return c.instances()
}

// collection is the set of instances found so far.
type collection struct {
	byURL map[string]*Instance
	// seenIDs holds the IDs of the instances that responded.
	seenIDs map[string]bool
	// unreachable holds the peers without a URL.
	unreachable []*Instance
	// pending holds the instances that have not been called yet.
	pending []*Instance
}

func (c *collection) add(id, url string) {
	url = strings.TrimSuffix(url, "/")
	if known, ok := c.byURL[url]; ok {
		known.ID = cmp.Or(known.ID, id)
		return
	}
	instance := &Instance{ID: id, URL: url}
	c.byURL[url] = instance
	c.pending = append(c.pending, instance)
}

// addResponse records the response of an instance and the peers that it lists. If the
// instance responded at another URL before, this URL is dropped.
func (c *collection) addResponse(instance *Instance) {
	if instance.Status == nil {
		return
	}
	if c.seenIDs[instance.Status.Instance] {
		delete(c.byURL, instance.URL)
		return
	}
	instance.ID = instance.Status.Instance
	c.seenIDs[instance.ID] = true
	for _, peer := range instance.Status.Peers {
		c.addPeer(peer)
	}
}

func (c *collection) addPeer(peer operatorapi.Peer) {
	if c.seenIDs[peer.ID] {
		return
	}
	if peer.OperatorURL != "" {
		c.add(peer.ID, peer.OperatorURL)
		return
	}
	known := func(i *Instance) bool { return i.ID == peer.ID }
	if !slices.ContainsFunc(c.unreachable, known) {
		c.unreachable = append(c.unreachable, &Instance{ID: peer.ID, Err: eris.New("the URL of its operator listener is not known")})
	}
}

// instances returns each instance once, also if a peer lists an instance that responded
// with another URL that does not.
func (c *collection) instances() []Instance {
	var all []Instance
	seen := map[string]bool{}
	for _, instance := range c.byURL {
		if instance.Status != nil {
			all = append(all, *instance)
			seen[instance.ID] = true
		}
	}
	failed := c.unreachable
	for _, instance := range c.byURL {
		if instance.Status == nil {
			failed = append(failed, instance)
		}
	}
	for _, instance := range failed {
		if !seen[instance.Name()] {
			seen[instance.Name()] = true
			all = append(all, *instance)
		}
	}
	slices.SortFunc(all, func(a, b Instance) int { return strings.Compare(a.Name(), b.Name()) })
	return all
}

// fetchAll fetches the status of the instances with up to maxCalls concurrent calls.
func fetchAll(ctx context.Context, newClient ClientFunc, instances []*Instance) {
	slots := make(chan struct{}, maxCalls)
	var calls sync.WaitGroup
	for _, instance := range instances {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			instance.Status, instance.Err = fetch(ctx, newClient(instance.URL))
		})
	}
	calls.Wait()
}

func fetch(ctx context.Context, client *operatorapi.Client) (*operatorapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	if status.Instance == "" {
		return nil, eris.New("the response contains no instance id")
	}
	return &status, nil
}
