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
	partService  = "engines"
	partRoute    = "/g/"
	partKey      = "key-1"
	firstPart    = "aa"
	deadlyPart   = "bad0"
	partEvents   = 30
	partInterval = 100 * time.Millisecond
	// downFor is the time after which a server that crashed is back.
	downFor = 3 * time.Second
	// soundEvery and deadlyEvery are the times between two requests.
	soundEvery  = 80 * time.Millisecond
	deadlyEvery = 700 * time.Millisecond
	// baselineFor, quietFor and troubleFor are the lengths of the three parts of the play.
	baselineFor = 8 * time.Second
	quietFor    = 9 * time.Second
	troubleFor  = 34 * time.Second
)

// partCall is one sound request.
type partCall struct {
	sent   time.Time
	status int
	began  bool
}

type partPlay struct {
	*cluster
	mu      sync.Mutex
	calls   []partCall
	crashes []time.Time
	sends   sync.WaitGroup
}

// playPart sends requests whose prompts have a part that crashes each server which begins to write an answer, among sound
// ones that share the key and the first part of the prompt.
func playPart(c *cluster, trouble bool) (bool, error) {
	p := &partPlay{cluster: c}
	for i := range 2 {
		if _, err := c.addInstance(fmt.Sprint("edge-burnie-a-", i+1), "burnie"); err != nil {
			return false, err
		}
	}
	c.store.PutConfig(standin.Config{
		Version: 3,
		Routes: []standin.Route{{
			Prefix: partRoute, Kind: standin.KindStream, Service: partService, Attempts: 2, Timeout: 15 * time.Second,
			LatencyObjective: 1200 * time.Millisecond, Resumable: true,
		}},
		Services: []string{partService},
		Accounts: []standin.Account{{Name: "t1", Keys: []string{partKey}}},
	})
	for i := range 2 {
		s, err := c.addServer(standin.ServerConfig{
			ID: fmt.Sprint("i-", i+1), Service: partService, FailureDomain: zoneOf("burnie"), MaxConcurrency: 64,
			Events: partEvents, EventInterval: partInterval, CachesPrompts: true,
		})
		if err != nil {
			return false, err
		}
		s.SetCrash(standin.CrashBeforeResponse, deadlyPart)
		s.OnCrash = func() { p.crashed(s) }
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)

	baselineFrom := time.Now()
	c.note("sound requests only")
	p.send(baselineFor, false)
	baselineTo := time.Now()
	c.note("no requests")
	time.Sleep(quietFor)
	c.note("sound requests, and such with the part: %t", trouble)
	troubleAt := time.Now()
	p.send(troubleFor, trouble)
	end := time.Now()
	p.sends.Wait()

	from := troubleAt.Add(2 * contact)
	if n := len(p.crashes); n > 0 {
		from = p.crashes[min(n, 5)-1].Add(2 * contact)
	}
	baseBegan, baseSent := p.count(baselineFrom, baselineTo)
	began, sent := p.count(from, end)
	c.say("%d crashes; the last that counts is followed by 2 x contactMs until %.1f s", len(p.crashes), from.Sub(c.began).Seconds())
	c.say("outside disruption %d of %d sound requests began at the first attempt, afterwards %d of %d", baseBegan, baseSent, began, sent)
	if baseSent < 20 || sent < 20 {
		return false, fmt.Errorf("fewer than 20 requests")
	}
	return float64(began)/float64(sent) < 0.5*float64(baseBegan)/float64(baseSent), nil
}

// crashed starts a server again some seconds after its crash.
func (p *partPlay) crashed(s *standin.UpstreamServer) {
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.note("crash %d: server %s", n, s.ID())
	time.AfterFunc(downFor, func() {
		if p.isClosed() {
			return
		}
		if err := s.RestartInPlace(0); err != nil {
			p.note("server %s could not start again: %v", s.ID(), err)
			return
		}
		p.store.PutServer(s.Config, s.Address(), false)
		p.note("server %s is back", s.ID())
	})
}

// send sends requests for a time, without waiting for the last ones.
func (p *partPlay) send(d time.Duration, deadly bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	nextDeadly := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(soundEvery) {
		if deadly && !time.Now().Before(nextDeadly) {
			nextDeadly = time.Now().Add(deadlyEvery)
			p.sends.Go(func() { p.call(client, true) })
		}
		p.sends.Go(func() { p.call(client, false) })
	}
}

func (p *partPlay) call(client *http.Client, deadly bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	second, tokens := fmt.Sprintf("d%02x", rand.IntN(40)), 512+600+300
	if deadly {
		second = deadlyPart
	}
	address := p.instances[rand.IntN(len(p.instances))].caller
	sent := time.Now()
	r := standin.Send(context.Background(), client, address, standin.Call{
		ID: id, Method: http.MethodPost, Path: partRoute + id, Key: partKey, Body: []byte("prompt " + id),
		Prompt: fmt.Sprintf("%s:512,%s:600,%s:300", firstPart, second, id), PromptTokens: tokens, Timeout: 15 * time.Second,
	})
	answer := ""
	if r.Status != http.StatusOK {
		answer = string(r.Body)
	}
	p.note("request %s deadly=%t sent at %.3f: status %d signed=%t bytes=%d err=%v %s", id, deadly, sent.Sub(p.began).Seconds(), r.Status, r.Signed, len(r.Body), r.Err, answer)
	if deadly {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, partCall{sent: sent, status: r.Status, began: r.Status == http.StatusOK && r.Signed && len(r.Body) > 0})
}

// count counts the sound requests that were sent in a time, and those that began.
func (p *partPlay) count(from, to time.Time) (began, sent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, call := range p.calls {
		if call.sent.Before(from) || !call.sent.Before(to) {
			continue
		}
		sent++
		if call.began {
			began++
		}
	}
	return began, sent
}
