//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heatherloom/platform/standin"
)

func init() { cases["memory"] = memory }

const (
	// memoryMB is the memory of an entry instance of the small sites, and maxBody their limit of a body.
	memoryMB = 284
	maxBody  = 4194304
	// usualUploads are the uploads of an ordinary moment, and burstFactor the largest dose of a burst.
	usualUploads = 32
	burstFactor  = 2.5
	uploadWork   = 3 * time.Second
)

// memory has clients upload bodies of the largest size that the limits allow. In a burst, more of them come at once.
func memory(program string, trouble bool) bool {
	n := usualUploads
	if trouble {
		n = int(usualUploads * burstFactor)
	}
	c := newCluster(program, "a")
	cleanup = c.close
	c.store.PutConfig(standin.Config{
		Version: 1, Services: []string{"app"},
		Routes:   []standin.Route{{Prefix: "/w/", Kind: standin.KindUnsafe, Service: "app", Attempts: 2, Timeout: 15 * time.Second, LatencyObjective: 3 * time.Second}},
		Accounts: []standin.Account{{Name: "t", Keys: []string{"key"}}},
	})
	var servers []*standin.UpstreamServer
	for k := range 2 {
		s, err := standin.StartServer(standin.ServerConfig{ID: fmt.Sprint("i-", k), Service: "app", FailureDomain: "a-1", MaxConcurrency: 64})
		must(err)
		c.store.PutServer(s.Config, s.Address(), false)
		servers = append(servers, s)
	}
	i := c.add("a", memoryMB)
	c.startAll()

	// Each client opens its connection with a small request.
	body := bytes.Repeat([]byte("x"), maxBody)
	clients := make([]*http.Client, n)
	var wg sync.WaitGroup
	for k := range clients {
		clients[k] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		wg.Go(func() {
			r := standin.Send(context.Background(), clients[k], i.caller, standin.Call{ID: fmt.Sprint("open-", k), Method: "POST", Path: "/w/1", Key: "key", Body: []byte("x"), Timeout: 14 * time.Second})
			rec.add("open-%d: %d %v", k, r.Status, r.Err)
			if r.Status != http.StatusOK {
				fail("a small request got %d, %v", r.Status, r.Err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	for _, s := range servers {
		s.SetFaults(standin.ServerFaults{Delay: uploadWork})
	}

	// The platform kills a process that exceeds its memory.
	var killed atomic.Bool
	peak := 0
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			peak = max(peak, residentMB(i.cmd.Process.Pid))
			if peak > memoryMB*1048576/1000000 && !killed.Load() {
				killed.Store(true)
				rec.add("the process has %d MB of memory, more than %d MiB: the platform kills it", peak, memoryMB)
				i.kill()
				return
			}
		}
	}()
	var mu sync.Mutex
	unanswered := []string{}
	answered := map[int]int{}
	for k, client := range clients {
		wg.Go(func() {
			id := fmt.Sprint("upload-", k)
			rec.add("%s sent", id)
			r := standin.Send(context.Background(), client, i.caller, standin.Call{ID: id, Method: "POST", Path: "/w/1", Key: "key", Body: body, Timeout: 14 * time.Second})
			rec.add("%s: %d %v", id, r.Status, r.Err)
			mu.Lock()
			defer mu.Unlock()
			if r.Err != nil {
				unanswered = append(unanswered, id)
			} else {
				answered[r.Status]++
			}
		})
	}
	wg.Wait()
	close(stop)
	<-watched
	recordRuns(servers)
	lost := 0
	for _, id := range unanswered {
		for _, s := range servers {
			if s.Executions(id) > 0 {
				lost++
				rec.add("%s was passed on to %s and its connection closed without an answer", id, s.ID())
				break
			}
		}
	}
	say("%d uploads of %d bytes at once: answers %v, %d connections closed without an answer, %d of them after the request had been passed on; killed for its memory %t, peak %d MB",
		n, maxBody, answered, len(unanswered), lost, killed.Load(), peak)
	return lost <= 3
}
