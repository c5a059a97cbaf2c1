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

func init() { cases["part"] = part }

const (
	partServers, partInstances = 4, 3
	// soundRate and harmRate are the requests a second.
	soundRate, harmRate = 12.5, 1.0
	// sharedParts are the parts that all prompts begin with.
	sharedParts = 3
	partEvents  = 60
	partGap     = 50 * time.Millisecond
	// partBack is when a server is back after its end, and rowExpiry when the row of its former process ends.
	partBack  = 3 * time.Second
	rowExpiry = 3300 * time.Millisecond
	// soundFor is the time of sound requests outside disruption, quietFor that without requests, and partTotal the whole.
	soundFor  = 8 * time.Second
	quietFor  = 9 * time.Second
	partTotal = 60 * time.Second
	// partContact is contactMs.
	partContact = 5 * time.Second
)

// part sends requests whose prompts have a part that crashes servers, beside sound ones with the same other parts.
func part(program string, trouble bool) bool {
	c := newCluster(program, "a")
	cleanup = c.close
	c.store.PutConfig(standin.Config{
		Version: 1, Services: []string{"llm"},
		Routes:   []standin.Route{{Prefix: "/g/", Kind: standin.KindStream, Service: "llm", Attempts: 2, Timeout: 15 * time.Second, LatencyObjective: 1200 * time.Millisecond, Resumable: true}},
		Accounts: []standin.Account{{Name: "t", Keys: []string{"key"}}},
	})
	var mu sync.Mutex
	var crashes []time.Time
	var all []*standin.UpstreamServer
	next := 0
	for n := range partServers {
		s, err := standin.StartServer(standin.ServerConfig{ID: fmt.Sprint("i-", n), Service: "llm", FailureDomain: "a-1", MaxConcurrency: 64, Events: partEvents, EventInterval: partGap, CachesPrompts: true})
		must(err)
		all = append(all, s)
		if trouble {
			s.SetCrash(standin.CrashBeforeResponse, "dead:")
		}
		s.OnCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			next++
			id := fmt.Sprint("i-new-", next)
			mu.Unlock()
			old := s.ID()
			rec.add("server %s ends", old)
			time.AfterFunc(partBack, func() {
				config, err := s.Restart(id)
				if err == nil {
					c.store.PutServer(config, s.Address(), false)
					rec.add("server %s starts", id)
				}
			})
			time.AfterFunc(rowExpiry, func() { c.store.DeleteServer(old) })
		}
		c.store.PutServer(s.Config, s.Address(), false)
	}
	for range partInstances {
		c.add("a", 284)
	}
	c.startAll()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	prefix := ""
	for k := range sharedParts {
		prefix += fmt.Sprintf("%x:400,", 0xa0+k)
	}
	type outcome struct {
		at     time.Time
		sound  bool
		status int
	}
	var outcomes []outcome
	var wg sync.WaitGroup
	n := 0
	send := func(sound bool) {
		n++
		id := n
		prompt := fmt.Sprintf("%s%x:300", prefix, 0x10000+id)
		if !sound {
			prompt = fmt.Sprintf("%sdead:300,%x:300", prefix, 0x10000+id)
		}
		wg.Go(func() {
			at := time.Now()
			r := standin.Send(context.Background(), client, c.instances[rand.IntN(partInstances)].caller, standin.Call{
				ID: fmt.Sprint("g", id), Method: "POST", Path: fmt.Sprint("/g/", id), Key: "key", Body: []byte(fmt.Sprint(id)), Prompt: prompt, PromptTokens: 1500, Timeout: 15 * time.Second,
			})
			status := r.Status
			if r.Err != nil {
				status = 0
			}
			mu.Lock()
			outcomes = append(outcomes, outcome{at, sound, status})
			mu.Unlock()
			rec.add("g%d sound %t sent %.3f: %d after %.3f", id, sound, at.Sub(rec.began).Seconds(), status, time.Since(at).Seconds())
		})
	}
	began := time.Now()
	soundDue, harmDue := 0.0, (soundFor + quietFor).Seconds()
	for time.Since(began) < partTotal {
		now := time.Since(began).Seconds()
		if now >= soundDue {
			soundDue += 1 / soundRate
			if now < soundFor.Seconds() || now >= (soundFor+quietFor).Seconds() {
				send(true)
			}
		}
		if now >= harmDue {
			harmDue += 1 / harmRate
			if trouble {
				send(false)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	recordRuns(all)
	judge := began.Add(soundFor + quietFor + 2*partContact)
	if len(crashes) > 0 {
		judge = crashes[min(len(crashes), 5)-1].Add(2 * partContact)
	}
	var before, beforeOK, after, afterOK int
	for _, o := range outcomes {
		if !o.sound {
			continue
		}
		switch {
		case o.at.Before(began.Add(soundFor)):
			before++
			if o.status == 200 {
				beforeOK++
			}
		case o.at.After(judge):
			after++
			if o.status == 200 {
				afterOK++
			}
		}
	}
	say("%d ends of servers; sound requests that began at the first attempt: %d of %d outside disruption, %d of %d from 2 x contactMs after the fifth or last end on", len(crashes), beforeOK, before, afterOK, after)
	if before < 20 || after < 20 {
		fail("fewer than 20 requests")
	}
	return float64(afterOK)/float64(after) >= 0.5*float64(beforeOK)/float64(before)
}
