// Package probe checks the health of upstreams that were paused after failures, and
// returns those that pass to service. An upstream in service is judged by its answers to
// requests alone.
package probe

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

const (
	// lookInterval is the time between two looks at the paused upstreams.
	lookInterval = 200 * time.Millisecond
	// firstInterval is the time between the first two checks of an upstream. It doubles up
	// to longestInterval, since each check is paid for.
	firstInterval   = 400 * time.Millisecond
	longestInterval = 2 * time.Second
	// checkTimeout bounds a check. A sound upstream answers in a few milliseconds, unless
	// the check waits for a slot.
	checkTimeout = 500 * time.Millisecond
	// maxBodyBytes bounds what is read of an answer.
	maxBodyBytes = 4 << 10
)

// Prober checks paused upstreams for one instance.
type Prober struct {
	Loop *control.Loop
	// Decode returns the id of the upstream that answered and how long it is still cold.
	Decode func(h http.Header) (id string, coldFor time.Duration)
	Log    *logrus.Entry

	client *http.Client
	// checks are indexed by upstream id.
	checks map[string]*check
}

type check struct {
	due      time.Time
	interval time.Duration
}

// Run checks paused upstreams until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: checkTimeout}).DialContext, DisableKeepAlives: true}
	p.client = &http.Client{Transport: transport, Timeout: checkTimeout}
	p.checks = map[string]*check{}
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.look(ctx, clock.Now())
		}
	}
}

// look starts the checks that are due and forgets upstreams that are back or gone.
func (p *Prober) look(ctx context.Context, now time.Time) {
	snapshot := p.Loop.Snapshot()
	down := map[string]bool{}
	for i := range snapshot.Upstreams {
		u := &snapshot.Upstreams[i]
		path := healthPath(snapshot, u)
		if !u.Down || u.Leaving || path == "" {
			continue
		}
		down[u.ID] = true
		c, ok := p.checks[u.ID]
		if !ok {
			c = &check{due: now.Add(firstInterval), interval: firstInterval}
			p.checks[u.ID] = c
		}
		if now.Before(c.due) {
			continue
		}
		c.interval = min(2*c.interval, longestInterval)
		c.due = now.Add(c.interval)
		go p.check(ctx, u.ID, "http://"+u.Address+path)
	}
	for id := range p.checks {
		if !down[id] {
			delete(p.checks, id)
		}
	}
}

func healthPath(s *routing.Snapshot, u *routing.Upstream) string {
	if len(u.Targets) == 0 {
		return ""
	}
	return s.Config.Services[u.Targets[0]].HealthPath
}

// check makes one health check and reports it if the upstream passes.
func (p *Prober) check(ctx context.Context, id, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := p.client.Do(req)
	if err != nil {
		p.logFailed(id, err.Error())
		return
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxBodyBytes)
	answered, coldFor := p.Decode(resp.Header)
	if resp.StatusCode != http.StatusOK || answered != id {
		p.logFailed(id, fmt.Sprintf("status %d from upstream %q", resp.StatusCode, answered))
		return
	}
	p.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "upstream_back",
		telemetry.FieldUpstream: id,
		telemetry.FieldColdFor:  coldFor.Milliseconds(),
	}).Info("paused upstream passed a health check")
	p.Loop.Post(ctx, control.ProbeEvent{Upstream: id, ColdFor: coldFor})
}

func (p *Prober) logFailed(id, cause string) {
	p.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "health_check_failed",
		telemetry.FieldUpstream: id,
		telemetry.FieldCause:    cause,
	}).Info("paused upstream did not pass a health check")
}
