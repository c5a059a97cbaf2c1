//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

func init() { cases["storm"] = storm }

const (
	// configRoutes is the number of routes of a configuration that has grown (big_config).
	configRoutes = 1400
	// stormGap and stormLength are those of config_storm.
	stormGap    = 60 * time.Millisecond
	stormLength = 1500 * time.Millisecond
	configLag   = 5 * time.Second
	// stormEnd is how long requests are sent after the last version was acknowledged.
	stormEnd = 30 * time.Second
)

// grownConfig is a configuration with many routes that nobody uses, and two that are used: /open/, which is public, and
// /keyed/. Both lead to service.
func grownConfig(version int, service string) map[string]any {
	route := func(name, prefix, service string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": standin.Host, "pathPrefix": prefix, "routeType": "safe", "service": service, "attempts": 2,
			"timeoutMs": 4000, "targetLatencyMs": 400, "priority": 2, "public": public, "sticky": false, "resumable": false,
		}
	}
	routes := []any{route("open", "/open/", service, true), route("keyed", "/keyed/", service, false)}
	for n := range configRoutes {
		// Versions change a few of the routes that nobody uses.
		to := "app-1"
		if n < 5 && version%2 == 1 {
			to = "app-2"
		}
		routes = append(routes, route(fmt.Sprintf("idle-%06d", n), fmt.Sprintf("/idle/%06d/", n), to, false))
	}
	services := []any{}
	for _, name := range []string{"app-1", "app-2"} {
		services = append(services, map[string]any{"name": name, "healthPath": standin.HealthPath, "maxConns": 490, "warmupS": 0, "warmupPerS": 0})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []any{map[string]any{"name": "t", "apiKeys": []string{"key"}, "ratePerS": 0, "burst": 0}},
	}
}

// storm writes configurations in quick succession; the last one moves the routes to another service.
func storm(program string, trouble bool) bool {
	store := startHistoryStore()
	c := newCluster(program, "a")
	cleanup = func() { c.close(); _ = store.server.Close() }
	store.put("op/config", grownConfig(1, "app-1"))
	servers := map[string]*standin.UpstreamServer{}
	for _, name := range []string{"app-1", "app-2"} {
		s, err := standin.StartServer(standin.ServerConfig{ID: "i-" + name, Service: name, FailureDomain: "a-1", MaxConcurrency: 64})
		must(err)
		servers[name] = s
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for seq := 1; ; seq++ {
			for name, s := range servers {
				store.put("servers/i-"+name, map[string]any{
					"service": name, "address": s.Address(), "zone": "a-1", "version": "v1", "slots": 64, "state": "ready", "warmupMs": 0, "seq": seq, "born": s.Config.StartedAt.UnixMilli(),
				})
			}
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	for range 3 {
		i := c.add("a", 284)
		i.store = store.address
	}
	c.startAll()

	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	type sent struct {
		id       string
		instance string
		at       time.Time
		open     bool
		status   int
	}
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	n := 0
	step := func() {
		n++
		i := c.instances[n%len(c.instances)]
		for _, open := range []bool{true, false} {
			call := standin.Call{ID: fmt.Sprintf("open-%d", n), Method: "GET", Path: "/open/1", Timeout: 4 * time.Second}
			if !open {
				call.ID, call.Path, call.Key = fmt.Sprintf("keyed-%d", n), "/keyed/1", "key"
			}
			wg.Go(func() {
				s := sent{id: call.ID, instance: i.id, at: time.Now(), open: open}
				r := standin.Send(context.Background(), client, i.caller, call)
				s.status = r.Status
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			})
		}
		time.Sleep(33 * time.Millisecond)
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		step()
	}
	// The operator's writes: each return of put is the acknowledgement.
	acknowledged := make(chan time.Time, 1)
	go func() {
		version := 1
		if trouble {
			for end := time.Now().Add(stormLength); time.Now().Before(end); time.Sleep(stormGap) {
				version += 3
				store.put("op/config", grownConfig(version, "app-1"))
				rec.add("version %d acknowledged", version)
			}
		}
		version += 3
		store.put("op/config", grownConfig(version, "app-2"))
		rec.add("version %d acknowledged: it moves the routes to app-2", version)
		acknowledged <- time.Now()
	}()
	var last time.Time
	for last.IsZero() {
		step()
		select {
		case last = <-acknowledged:
		default:
		}
	}
	for time.Since(last) < stormEnd {
		step()
	}
	wg.Wait()
	ran := map[string]string{}
	for name, s := range servers {
		for _, e := range s.ExecutedRequests() {
			ran[e.RequestID] = name
		}
	}
	stale, latest, refused, keyed := 0, time.Duration(0), 0, 0
	perInstance := map[string]int{}
	for _, s := range all {
		after := s.at.Sub(last)
		rec.add("%s sent to %s %.3f s after the acknowledgement: status %d, run by %q", s.id, s.instance, after.Seconds(), s.status, ran[s.id])
		if after <= configLag {
			continue
		}
		if ran[s.id] == "app-1" {
			stale++
			perInstance[s.instance]++
			latest = max(latest, after)
		}
		if !s.open {
			keyed++
			if s.status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	store.mu.Lock()
	say("the configuration has %d bytes; the largest response of a watch had %d bytes", len(store.items["op/config"].Value), store.watchBytes)
	store.mu.Unlock()
	say("sent later than %s after the acknowledgement: %d requests were run by the service of older versions %v, the latest %.1f s after it; %d of %d requests with a key were refused with 503",
		configLag, stale, perInstance, latest.Seconds(), refused, keyed)
	return stale == 0
}
