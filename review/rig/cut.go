//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

const (
	cutService = "engines"
	cutRoute   = "/g/"
	// homeRoute is the route of requests whose home is the region that is cut off.
	homeRoute = "/h/"
	cutKey    = "key-1"
	// cutFor is the length of the cut, that of region_cut in the site file.
	cutFor = 6 * time.Second
	// stillAtWork is the bound of the rule.
	stillAtWork = 400 * time.Millisecond
)

// playCut cuts off a region whose instance has passed streams on to the other region.
func playCut(c *cluster, trouble bool) (bool, error) {
	regions := []string{"hobart", "burnie"}
	var links []*faultproxy.Proxy
	for _, region := range regions {
		e, err := c.addInstance("edge-"+region+"-a-1", region)
		if err != nil {
			return false, err
		}
		link, err := c.proxy(e.peer)
		if err != nil {
			return false, err
		}
		e.peerAddress = link.Address()
		links = append(links, link)
	}
	far := c.instances[1]
	storeLink, err := c.proxy(strings.TrimPrefix(c.store.URL(), "http://"))
	if err != nil {
		return false, err
	}
	far.storeAddress = storeLink.Address()
	links = append(links, storeLink)
	c.store.PutConfig(standin.Config{
		Version: 3,
		Routes: []standin.Route{
			{
				Prefix: cutRoute, Kind: standin.KindStream, Service: cutService, Attempts: 2, Timeout: 15 * time.Second,
				LatencyObjective: 1200 * time.Millisecond, Resumable: true,
			},
			{
				Prefix: homeRoute, Kind: standin.KindStream, Service: cutService, Attempts: 2, Timeout: 15 * time.Second,
				LatencyObjective: 1200 * time.Millisecond, Resumable: true, AllowedRegions: []string{"burnie"},
			},
		},
		Services: []string{cutService},
		Accounts: []standin.Account{{Name: "t1", Keys: []string{cutKey}}},
	})
	for _, region := range regions {
		_, err := c.addModelServer(standin.ServerConfig{
			ID: "i-" + region, Service: cutService, FailureDomain: zoneOf(region), MaxConcurrency: 64,
			Events: 100, EventInterval: 100 * time.Millisecond, CachesPrompts: true,
		}, time.Second)
		if err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)

	var sends sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	send := func(route, id string, tokens int) {
		sends.Go(func() {
			sent := time.Now()
			r := standin.Send(context.Background(), client, far.caller, standin.Call{
				ID: id, Method: http.MethodPost, Path: route + id, Key: cutKey, Body: []byte("prompt " + id),
				Prompt: fmt.Sprintf("aa:512,%s:%d", id, tokens-512), PromptTokens: tokens, Timeout: 15 * time.Second,
			})
			c.note("request %s sent at %.3f: status %d signed=%t bytes=%d err=%v", id, sent.Sub(c.began).Seconds(), r.Status, r.Signed, len(r.Body), r.Err)
		})
	}
	// Long prompts keep the only server of the region busy, so that what follows goes to the other region.
	for i := range 2 {
		send(homeRoute, fmt.Sprintf("a%03d", i), 20000)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range 6 {
		send(cutRoute, fmt.Sprintf("b%03d", i), 900)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.note("region burnie is cut off")
		for _, link := range links {
			link.SetFaults(faultproxy.BlackHole())
		}
	}
	time.Sleep(cutFor)
	for _, link := range links {
		link.SetFaults(faultproxy.Faults{})
	}
	c.note("region burnie is no longer cut off")
	sends.Wait()
	time.Sleep(time.Second)

	broken := 0
	runs := c.allRuns()
	for _, next := range runs {
		for _, before := range runs {
			if next.id != before.id || next.server == before.server || !before.began.Before(next.began) {
				continue
			}
			overlap := before.ended.Sub(next.began)
			c.note("%s went on at %s; %s was at work for %s more, and made %d events", next.id, next.server, before.server, overlap.Round(time.Millisecond), before.events)
			if overlap > stillAtWork {
				broken++
			}
		}
	}
	c.say("%d requests went on at another server while the server before still worked on them %s later", broken, stillAtWork)
	return broken > 0, nil
}
