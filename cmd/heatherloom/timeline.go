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

// timelineCalls bounds the instances that are asked at the same time.
const timelineCalls = 16

func runTimeline(args []string) int {
	c := newOperatorCommand("timeline", "Merges the recent events of all entry instances in causal order. It asks one instance and learns the others from their peers.",
		"timeline -operator http://10.0.0.7:9003 -request 0b7d0a52-6f0e-4d2f-9a55-b5f6f1b6a3c1",
		"timeline -operator http://10.0.0.7:9003 -account derwent -html derwent.html")
	var filter timeline.Filter
	c.flags.StringVar(&filter.Request, "request", "", "show only the request with this `ID`")
	c.flags.StringVar(&filter.Account, "account", "", "show only requests of the client account `A`")
	c.flags.StringVar(&filter.Version, "version", "", "show only requests that met the version `V`")
	c.flags.StringVar(&filter.Instance, "instance", "", "show only events of the instance `I`")
	html := c.flags.String("html", "", "write one HTML page to `FILE` instead of text")
	return c.run(args, func(ctx context.Context, at func(string) *operatorapi.Client) error {
		collected, err := collectEvents(ctx, *c.url, at)
		if err != nil {
			return err
		}
		events := filter.Apply(timeline.Merge(collected.lists...))
		if err := writeTimeline(*html, events, collected.missing); err != nil {
			return err
		}
		if len(collected.missing) > 0 {
			return fmt.Errorf("these instances did not answer, so their events are missing: %s", strings.Join(collected.missing, "; "))
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
	page := timeline.Page{Title: "heatherloom timeline", Events: events, Missing: missing, Made: time.Now()}
	return errors.Join(timeline.RenderHTML(file, page), file.Close())
}

// collection is what the instances answered.
type collection struct {
	lists [][]timeline.Event
	// missing names the instances that did not answer, with the cause.
	missing []string
}

// answered is the answer of one instance.
type answered struct {
	status operatorapi.Status
	events []timeline.Event
	err    error
}

func ask(ctx context.Context, client *operatorapi.Client) answered {
	status, err := client.Status(ctx)
	if err != nil {
		return answered{err: err}
	}
	events, err := client.Events(ctx, 0)
	return answered{status: status, events: events.Events, err: err}
}

// collectEvents asks the instance at url, then the peers that it knows, then the
// peers that those know, until none is new. It fails only if the first one does.
func collectEvents(ctx context.Context, url string, at func(string) *operatorapi.Client) (collection, error) {
	first := ask(ctx, at(url))
	if first.err != nil {
		return collection{}, first.err
	}
	collected := collection{lists: [][]timeline.Event{first.events}}
	asked := map[string]bool{first.status.Instance: true}
	next := newPeers(first.status, asked)
	for len(next) > 0 {
		var found []operatorapi.Peer
		for i, a := range askAll(ctx, next, at) {
			if a.err != nil {
				collected.missing = append(collected.missing, fmt.Sprintf("%s (%v)", next[i].ID, a.err))
				continue
			}
			collected.lists = append(collected.lists, a.events)
			found = append(found, newPeers(a.status, asked)...)
		}
		next = found
	}
	return collected, nil
}

// newPeers returns the peers that were not asked yet and marks them as asked.
func newPeers(s operatorapi.Status, asked map[string]bool) []operatorapi.Peer {
	var peers []operatorapi.Peer
	for _, p := range s.Peers {
		if !asked[p.ID] {
			asked[p.ID] = true
			peers = append(peers, p)
		}
	}
	return peers
}

func askAll(ctx context.Context, peers []operatorapi.Peer, at func(string) *operatorapi.Client) []answered {
	answers := make([]answered, len(peers))
	slots := make(chan struct{}, timelineCalls)
	var group sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answers[i] = ask(ctx, at(p.OperatorURL))
		})
	}
	group.Wait()
	return answers
}
