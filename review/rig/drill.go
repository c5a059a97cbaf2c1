//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

const (
	drillService = "ledger"
	drillRoute   = "/r/"
	// betweenRegions is the one-way latency between two regions.
	betweenRegions = 55 * time.Millisecond
	// revoke is revokeMs.
	revoke = 5 * time.Second
	// rewriteAfter is the time after which the operator writes again what the store has lost.
	rewriteAfter = 2 * time.Second
)

// playDrill takes a key away, and later restores the store from a copy that still has it, while an instance restarts.
func playDrill(c *cluster, trouble bool) (bool, error) {
	for _, region := range []string{"hobart", "launceston", "burnie"} {
		e, err := c.addInstance("edge-"+region+"-a-1", region)
		if err != nil {
			return false, err
		}
		link, err := c.proxy(e.peer)
		if err != nil {
			return false, err
		}
		link.SetFaults(faultproxy.Latency(betweenRegions))
		e.peerAddress = link.Address()
	}
	config := standin.Config{
		Version:  3,
		Routes:   []standin.Route{{Prefix: drillRoute, Kind: standin.KindSafe, Service: drillService, Attempts: 2, Timeout: time.Second, LatencyObjective: 300 * time.Millisecond}},
		Services: []string{drillService},
		Accounts: []standin.Account{{Name: "t1", Keys: []string{"key-1"}}, {Name: "t2", Keys: []string{"key-2"}}},
	}
	c.store.PutConfig(config)
	for i := range 2 {
		if _, err := c.addServer(standin.ServerConfig{ID: fmt.Sprint("i-", i+1), Service: drillService, FailureDomain: zoneOf("hobart"), MaxConcurrency: 6}); err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	e := c.instances[0]
	stop := make(chan struct{})
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var sends sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sends.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			sends.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				at := time.Now()
				mu.Lock()
				sent[id] = at
				mu.Unlock()
				r := standin.Send(context.Background(), client, e.caller, standin.Call{ID: id, Method: http.MethodGet, Path: drillRoute + id, Key: "key-2", Timeout: 2 * time.Second})
				c.note("request %s sent at %.3f: status %d err=%v", id, at.Sub(c.began).Seconds(), r.Status, r.Err)
			})
		}
	})
	backup := c.store.Backup()
	time.Sleep(time.Second)
	config.Version, config.Accounts = 4, config.Accounts[:1]
	c.store.PutConfig(config)
	acknowledged := time.Now()
	c.note("key-2 is taken away")
	time.Sleep(revoke + 1500*time.Millisecond)
	latest := c.store.Backup()
	if trouble {
		c.store.Restore(backup)
		c.note("the store returns from its copy")
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
	if err := c.start(e); err != nil {
		return false, err
	}
	time.Sleep(rewriteAfter)
	if trouble {
		c.store.Rewrite(backup, latest, "op/", "servers/")
		c.note("the operator and the servers have written again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	sends.Wait()
	ran := 0
	for _, s := range c.servers {
		for _, run := range s.ExecutedRequests() {
			if at, ok := sent[run.RequestID]; ok && at.Sub(acknowledged) > revoke {
				ran++
				c.note("%s ran, sent %.3f after the key was taken away", run.RequestID, at.Sub(acknowledged).Seconds())
			}
		}
	}
	c.say("%d requests with the key ran that were sent later than revokeMs after it was taken away", ran)
	return ran > 0, nil
}
