//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

const (
	// awayFor is how long the store is away, and so the age of the copy from which it returns.
	awayFor = 3 * time.Second
	// pollFor is how long an instance's read of changes waits at the store, and pollEvery the time between two.
	pollFor   = 300 * time.Millisecond
	pollEvery = 1100 * time.Millisecond
)

// playCopy takes a key away just before the store goes away, and returns the store from a copy that was made then.
func playCopy(c *cluster, trouble bool) (bool, error) {
	for i := range 2 {
		if _, err := c.addInstance(fmt.Sprint("edge-hobart-a-", i+1), "hobart"); err != nil {
			return false, err
		}
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
	stop := make(chan struct{})
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var sends sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	sends.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			sends.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				at := time.Now()
				mu.Lock()
				sent[id] = at
				mu.Unlock()
				e := c.instances[rand.IntN(len(c.instances))]
				r := standin.Send(context.Background(), client, e.caller, standin.Call{ID: id, Method: http.MethodGet, Path: drillRoute + id, Key: "key-2", Timeout: 2 * time.Second})
				c.note("request %s with key-2 at %s sent at %.3f: status %d err=%v", id, e.id, at.Sub(c.began).Seconds(), r.Status, r.Err)
			})
		}
	})
	if err := c.waitBetweenReads(); err != nil {
		return false, err
	}
	config.Version, config.Accounts = 4, config.Accounts[:1]
	c.store.PutConfig(config)
	acknowledged := time.Now()
	backup := c.store.Backup()
	c.note("key-2 is taken away")
	// This write is lost, and the server writes it again.
	c.store.PutServer(c.servers[0].Config, c.servers[0].Address(), false)
	if trouble {
		c.store.SetFaults(standin.StoreFaults{Unavailable: true})
		c.note("the store is away")
	}
	time.Sleep(awayFor)
	if trouble {
		latest := c.store.Backup()
		c.store.Restore(backup)
		c.store.SetFaults(standin.StoreFaults{})
		c.note("the store returns from its copy, which is %s old", time.Since(acknowledged).Round(time.Millisecond))
		time.Sleep(time.Second)
		c.store.Rewrite(backup, latest, "op/", "servers/")
		c.note("the operator and the servers have written again what was lost")
	}
	time.Sleep(16 * time.Second)
	close(stop)
	sends.Wait()
	ran, last := 0, time.Duration(0)
	for _, s := range c.servers {
		for _, run := range s.ExecutedRequests() {
			if at, ok := sent[run.RequestID]; ok && at.Sub(acknowledged) > revoke {
				ran++
				last = max(last, at.Sub(acknowledged))
				c.note("%s ran, sent %.3f after the key was taken away", run.RequestID, at.Sub(acknowledged).Seconds())
			}
		}
	}
	c.say("%d requests with the key ran that were sent later than revokeMs after it was taken away, the last %.1f s after", ran, last.Seconds())
	return ran > 0, nil
}

// waitBetweenReads returns at a moment at which no instance waits for changes at the store.
func (c *cluster) waitBetweenReads() error {
	last, seen := time.Now(), c.store.Reads()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if n := c.store.Reads(); n != seen {
			last, seen = time.Now(), n
		}
		if quiet := time.Since(last); quiet > pollFor+30*time.Millisecond && quiet < pollEvery {
			return nil
		}
	}
	return fmt.Errorf("the instances always read")
}
