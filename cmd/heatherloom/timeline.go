package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"heatherloom/internal/operatorapi"
	"heatherloom/internal/timeline"
)

// maxTimelineCalls bounds the number of instances that are queried concurrently.
const maxTimelineCalls = 16

func runTimeline(args []string) int {
	c := newOperatorCommand("timeline", "Merges the recent events of all entry instances in causal order. It queries one instance and discovers the others through their peers.",
		"timeline -operator http://10.0.0.7:9003 -request 0b7d0a52-6f0e-4d2f-9a55-b5f6f1b6a3c1",
		"timeline -operator http://10.0.0.7:9003 -account derwent -html derwent.html")
	var filter timeline.Filter
	c.flags.StringVar(&filter.Request, "request", "", "show only the request with this `ID`")
	c.flags.StringVar(&filter.Account, "account", "", "show only requests of the client account `A`")
	c.flags.StringVar(&filter.Version, "version", "", "show only requests that used the version `V`")
	c.flags.StringVar(&filter.Instance, "instance", "", "show only events of the instance `I`")
	html := c.flags.String("html", "", "write one HTML page to `FILE` instead of text")
	return c.run(args, func(ctx context.Context, newClient func(string) *operatorapi.Client) error {
		collected, err := collectEvents(ctx, *c.url, newClient)
		if err != nil {
			return err
		}
		events := filter.Apply(timeline.Merge(collected.lists...))
		if err := writeTimeline(*html, events, collected.missing); err != nil {
			return err
		}
		if len(collected.missing) > 0 {
			return fmt.Errorf("these instances did not respond, so their events are missing: %s", strings.Join(collected.missing, "; "))
		}
		return nil
	})
}

func writeTimeline(path string, events []timeline.Event, missing []string) error {
	if path == "" {
		return timeline.RenderText(os.Stdout, events)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	page := timeline.Page{Title: "heatherloom timeline", Events: events, Missing: missing, GeneratedAt: time.Now()}
	return errors.Join(timeline.RenderHTML(file, page), file.Close())
}

// collection holds the events of the instances that responded.
type collection struct {
	lists [][]timeline.Event
	// missing lists the instances that did not respond, with the cause.
	missing []string
}

// response is the state and the events of one instance, or the error of the query.
type response struct {
	status operatorapi.Status
	events []timeline.Event
	err    error
}

func query(ctx context.Context, client *operatorapi.Client) response {
	status, err := client.Status(ctx)
	if err != nil {
		return response{err: err}
	}
	events, err := client.Events(ctx, 0)
	return response{status: status, events: events.Events, err: err}
}

// collectEvents queries the instance at url, then its peers, then their peers, until no
// new ones are found. It fails only if the first query fails.
func collectEvents(ctx context.Context, url string, newClient func(string) *operatorapi.Client) (collection, error) {
	first := query(ctx, newClient(url))
	if first.err != nil {
		return collection{}, first.err
	}
	collected := collection{lists: [][]timeline.Event{first.events}}
	queried := map[string]bool{first.status.Instance: true}
	next := newPeers(first.status, queried)
	for len(next) > 0 {
		var found []operatorapi.Peer
		for i, r := range queryAll(ctx, next, newClient) {
			if r.err != nil {
				collected.missing = append(collected.missing, fmt.Sprintf("%s (%v)", next[i].ID, r.err))
				continue
			}
			collected.lists = append(collected.lists, r.events)
			found = append(found, newPeers(r.status, queried)...)
		}
		next = found
	}
	return collected, nil
}

// newPeers returns the peers that have not been queried yet and marks them as queried.
func newPeers(s operatorapi.Status, queried map[string]bool) []operatorapi.Peer {
	var peers []operatorapi.Peer
	for _, p := range s.Peers {
		if !queried[p.ID] {
			queried[p.ID] = true
			peers = append(peers, p)
		}
	}
	return peers
}

func queryAll(ctx context.Context, peers []operatorapi.Peer, newClient func(string) *operatorapi.Client) []response {
	responses := make([]response, len(peers))
	semaphore := make(chan struct{}, maxTimelineCalls)
	var wg sync.WaitGroup
	for i, p := range peers {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			responses[i] = query(ctx, newClient(p.OperatorURL))
		})
	}
	wg.Wait()
	return responses
}
