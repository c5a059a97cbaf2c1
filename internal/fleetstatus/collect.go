// Package fleetstatus asks the entry instances for their status over the operator
// listener.
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
	// maxCalls bounds the calls that run at once; 920 instances that do not answer take
	// 15 rounds of callTimeout.
	maxCalls = 64
)

// Instance is one entry instance and its answer.
type Instance struct {
	// ID is empty if no instance that answered names the URL as that of a peer.
	ID  string
	URL string
	// Status is nil if the instance gave no answer.
	Status *operatorapi.Status
	// Err says why there is no answer.
	Err error
}

// Name returns the instance id, or the URL if the id is not known.
func (i Instance) Name() string {
	if i.ID == "" {
		return i.URL
	}
	return i.ID
}

// Dialer returns a client of the operator listener at a base URL.
type Dialer func(url string) *operatorapi.Client

// Collect asks the operator listeners at the base URLs, and all peers that the
// answers name, and returns each instance once, ordered by name.
func Collect(ctx context.Context, at Dialer, urls []string) []Instance {
	c := collection{byURL: map[string]*Instance{}, seenIDs: map[string]bool{}}
	for _, url := range urls {
		c.add("", url)
	}
	for len(c.pending) > 0 {
		round := c.pending
		c.pending = nil
		fetchAll(ctx, at, round)
		for _, instance := range round {
			c.take(instance)
		}
	}
	return c.instances()
}

// collection is the set of instances that are known so far.
type collection struct {
	byURL map[string]*Instance
	// seenIDs are the ids of instances that answered.
	seenIDs map[string]bool
	// unreachable are peers without a URL.
	unreachable []*Instance
	pending     []*Instance
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

// take records an answer and the peers that it names. A second URL of an instance
// that answered before is dropped.
func (c *collection) take(instance *Instance) {
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
		c.unreachable = append(c.unreachable, &Instance{ID: peer.ID, Err: eris.New("its operator address is not known")})
	}
}

// instances returns each instance once. One that answered counts once even if a peer
// names it with an address that does not answer.
func (c *collection) instances() []Instance {
	var all []Instance
	seen := map[string]bool{}
	for _, instance := range c.byURL {
		if instance.Status != nil {
			all = append(all, *instance)
			seen[instance.ID] = true
		}
	}
	silent := c.unreachable
	for _, instance := range c.byURL {
		if instance.Status == nil {
			silent = append(silent, instance)
		}
	}
	for _, instance := range silent {
		if !seen[instance.Name()] {
			seen[instance.Name()] = true
			all = append(all, *instance)
		}
	}
	slices.SortFunc(all, func(a, b Instance) int { return strings.Compare(a.Name(), b.Name()) })
	return all
}

// fetchAll fills in the answers of the instances, maxCalls at a time.
func fetchAll(ctx context.Context, at Dialer, instances []*Instance) {
	slots := make(chan struct{}, maxCalls)
	var calls sync.WaitGroup
	for _, instance := range instances {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			instance.Status, instance.Err = fetch(ctx, at(instance.URL))
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
		return nil, eris.New("the answer names no instance")
	}
	return &status, nil
}
