// Package probe checks the health of upstreams that were paused after failures, and
// returns those that pass to service. Of the upstreams in service it checks those that owe responses and
// send nothing, and has those paused that stay silent, those that may have started again, which may be
// cold, and those that leave according to their responses only; the health of others is derived from their responses to requests.
package probe

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

const (
	// scanInterval is the time between two scans for paused upstreams that are due.
	scanInterval = 50 * time.Millisecond
	// initialDelay is the time from the detection of a paused upstream to its first check.
	// The interval doubles after each check up to maxInterval, because every check has a cost.
	initialDelay = 400 * time.Millisecond
	maxInterval  = 2 * time.Second
	// minCheckSpacing is the time between two checks if the first told that the upstream did not start again.
	minCheckSpacing = 2 * scanInterval
	// leavingDelay is the time to the first check of an upstream that leaves according to its responses only, and between
	// two. Most have ended by then.
	leavingDelay = 4 * time.Second
	// silenceToCheck is how long an upstream in service owes a first byte and sends nothing before it
	// is checked.
	silenceToCheck = 700 * time.Millisecond
	// checkTimeout is the timeout of a check, in time in which this process runs. A healthy upstream responds within a
	// few milliseconds, unless the check waits for a slot.
	checkTimeout = 500 * time.Millisecond
	// dialTimeout is shorter, so that an upstream that cannot be reached differs from one that is busy.
	dialTimeout = 300 * time.Millisecond
	// maxDialTime ends the dial of a check that was canceled.
	maxDialTime = 2 * time.Second
	// maxUnreported is how long the health check after a sign of a restart may take before the others of the region are
	// told of the sign. Most checks are answered sooner, and tell the cold time.
	maxUnreported = 50 * time.Millisecond
	// linksCheckedFor is how long the check of this instance's own links holds.
	linksCheckedFor = time.Second
	// maxBodyBytes limits how much of a response body is read.
	maxBodyBytes = 4 << 10
	// maxHeaderBytes limits the response header; the default of net/http is 10 MB.
	maxHeaderBytes = 16 << 10
)

// Health is what an upstream says of itself in the response to a health check.
type Health struct {
	// ID is the id of the upstream that responded; empty if missing.
	ID string
	// ColdFor is how long the upstream remains cold.
	ColdFor time.Duration
	// Leaving is true if the upstream says that it leaves.
	Leaving bool
}

// Prober checks paused upstreams for one instance.
type Prober struct {
	Loop *control.Loop
	// ParseHeader decodes the header of the response to a health check.
	ParseHeader func(h http.Header) Health
	// ReportRestart tells the other instances of the region that an upstream ended, or started again and is
	// cold; nil to tell nobody.
	ReportRestart func(ctx context.Context, r control.RestartReport)
	Log           *logrus.Entry

	// Wake, if it is not nil, has the prober look at once for upstreams to check.
	Wake <-chan struct{}

	client *http.Client
	// checks are indexed by upstream id.
	checks map[string]*check
	links  links
	// maxUnreported is the constant of that name while Run runs, and 0 to report no signs.
	maxUnreported time.Duration
}

// links is whether this instance reached an upstream at a time.
type links struct {
	mu        sync.Mutex
	checkedAt time.Time
	up        bool
}

// check is the schedule of the health checks of one upstream.
type check struct {
	due      time.Time
	interval time.Duration
	// sent is when the last check was sent; zero before the first.
	sent time.Time
}

// restartNoticed returns the schedule for an upstream of which a new sign of a restart was noticed after the last check
// told that there was none.
func (c *check) restartNoticed() *check {
	return &check{due: c.sent.Add(minCheckSpacing), interval: initialDelay}
}

// Run checks paused upstreams until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.client, p.maxUnreported = newClient(), maxUnreported
	p.checks = map[string]*check{}
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Wake:
			p.scan(ctx, clock.Now())
		case <-ticker.C:
			p.scan(ctx, clock.Now())
		}
	}
}

func newClient() *http.Client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: maxDialTime}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{Transport: transport}
}

// scan starts the checks that are due and removes upstreams that recovered or no longer
// exist.
func (p *Prober) scan(ctx context.Context, now time.Time) {
	snapshot := p.Loop.Snapshot()
	checked := map[string]bool{}
	for i := range snapshot.Upstreams {
		u := &snapshot.Upstreams[i]
		path := healthPath(snapshot, u)
		silent := !u.Down && u.Counters.SilentFor(now) >= silenceToCheck
		restarted := !u.Down && u.MayBecomeCold && u.Counters.CheckWanted(now)
		leaving := u.Draining && !u.ListedDraining
		if (!u.Down && !silent && !restarted && !leaving) || u.ListedDraining || path == "" {
			continue
		}
		checked[u.ID] = true
		c, ok := p.checks[u.ID]
		if ok && restarted && !c.sent.IsZero() && u.Counters.CheckedSince(c.sent) {
			c = c.restartNoticed()
			p.checks[u.ID] = c
		}
		if !ok {
			c = &check{due: now, interval: initialDelay}
			switch {
			case leaving:
				c.due, c.interval = now.Add(leavingDelay), leavingDelay
			case u.Down:
				c.due = now.Add(initialDelay)
			}
			p.checks[u.ID] = c
		}
		if now.Before(c.due) || u.Counters.PausedFor(now.UnixNano()) > 0 || !u.TakeRequest(now.UnixNano()) {
			continue
		}
		c.interval = min(2*c.interval, max(maxInterval, c.interval))
		c.due, c.sent = now.Add(c.interval), now
		u.Counters.RecordHealthCheck(now)
		switch url := "http://" + u.Address + path; {
		case leaving:
			go p.checkLeaving(ctx, u, url)
		case silent:
			go p.checkSilent(ctx, u, url)
		case restarted:
			go p.checkRestarted(ctx, u, url)
		default:
			go p.checkUpstream(ctx, u.ID, url)
		}
	}
	for id := range p.checks {
		if !checked[id] {
			delete(p.checks, id)
		}
	}
}

// healthPath returns the path of the health check of the upstream, or "" if it has none.
func healthPath(s *routing.Snapshot, u *routing.Upstream) string {
	if len(u.Targets) == 0 {
		return ""
	}
	return s.Config.Services[u.Targets[0]].HealthPath
}

// checkSilent makes one health check of an upstream in service, which is paused if it sends nothing.
func (p *Prober) checkSilent(ctx context.Context, u *routing.Upstream, url string) {
	sent := clock.Now()
	resp, err := p.get(ctx, url)
	if err == nil {
		_ = resp.Body.Close()
		u.Counters.RecordSign(clock.Now())
		if health := p.ParseHeader(resp.Header); health.ID == u.ID {
			p.recordColdTime(ctx, u, sent, health)
		}
		return
	}
	if ctx.Err() == nil && !errors.Is(err, errRanLate) && u.Counters.SilentFor(clock.Now()) >= silenceToCheck {
		p.logFailed(u.ID, err.Error())
		u.Counters.RecordUnreachable()
	}
}

// checkRestarted makes one health check of an upstream in service whose connection broke, to learn whether it
// has started again and is cold. It is paused if no connection is established. One that is too busy for the
// check has not just started.
func (p *Prober) checkRestarted(ctx context.Context, u *routing.Upstream, url string) {
	sent := clock.Now()
	if p.maxUnreported > 0 && u.Counters.SignNoticed() {
		defer time.AfterFunc(p.maxUnreported, func() { p.reportEnd(ctx, u, sent) }).Stop()
	}
	resp, err := p.get(ctx, url)
	var operation *net.OpError
	var health Health
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, errDialTimeout), errors.As(err, &operation) && operation.Op == "dial":
		p.logFailed(u.ID, err.Error())
		u.Counters.RecordUnreachable()
		p.reportEnd(ctx, u, sent)
		return
	case err != nil && !errors.Is(err, errCheckTimeout):
		// The connection broke: the upstream may be ending just now, or have too many connections. If this process
		// ran late, the check tells nothing.
		p.logFailed(u.ID, err.Error())
		return
	case err != nil:
		u.Counters.RecordBusyCheck(sent)
		return
	case err == nil:
		_ = resp.Body.Close()
		if health = p.ParseHeader(resp.Header); health.ID != u.ID && health.ID != "" {
			return
		}
		if health.Leaving {
			u.Counters.RecordLeaving(clock.Now())
		}
	}
	p.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "restart_checked",
		telemetry.FieldUpstream: u.ID,
		telemetry.FieldColdFor:  health.ColdFor.Milliseconds(),
	}).Info("a health check told whether an upstream started again")
	p.recordColdTime(ctx, u, sent, health)
}

// reportEnd tells the others of the region that an upstream ended. If more than half of the upstreams of the service
// seem to have ended, this instance may have lost its own links, and tells nothing unless it reaches another one.
func (p *Prober) reportEnd(ctx context.Context, u *routing.Upstream, noticed time.Time) {
	snapshot := p.Loop.Snapshot()
	suspected, listed := 0, 0
	var sound *routing.Upstream
	for _, i := range snapshot.ByTarget[u.Targets[0]] {
		listed++
		if other := &snapshot.Upstreams[i]; other.Down || other.Counters.RestartSuspected() {
			suspected++
		} else if !other.Draining {
			sound = other
		}
	}
	if p.ReportRestart != nil && (2*suspected <= max(listed, 2) || p.hasLinks(ctx, snapshot, sound)) {
		p.ReportRestart(ctx, control.RestartReport{Upstream: u.ID, NoticedAt: noticed})
	}
}

// hasLinks reports whether this instance reaches an upstream over a new connection; false for nil.
func (p *Prober) hasLinks(ctx context.Context, s *routing.Snapshot, u *routing.Upstream) bool {
	if u == nil {
		return false
	}
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	if now := clock.Now(); now.Sub(p.links.checkedAt) > linksCheckedFor {
		p.links.checkedAt, p.links.up = now, false
		if resp, err := p.get(ctx, "http://"+u.Address+healthPath(s, u)); err == nil {
			_ = resp.Body.Close()
			p.links.up = true
		}
	}
	return p.links.up
}

// recordColdTime records what the response to a health check of an upstream in service said of its cold time.
func (p *Prober) recordColdTime(ctx context.Context, u *routing.Upstream, sent time.Time, health Health) {
	u.Counters.RecordColdTime(sent, health.ColdFor)
	p.reportColdTime(ctx, u.ID, sent, health)
	p.Loop.Post(ctx, control.RestartCheckedEvent{Upstream: u.ID, Sent: sent, ColdFor: health.ColdFor})
}

// reportColdTime tells the others of the region until when an upstream is cold.
func (p *Prober) reportColdTime(ctx context.Context, id string, sent time.Time, health Health) {
	if p.ReportRestart != nil && health.ColdFor > 0 {
		p.ReportRestart(ctx, control.RestartReport{Upstream: id, NoticedAt: sent, ColdFor: health.ColdFor})
	}
}

// checkLeaving makes one health check of an upstream that leaves according to its responses only, which may stay or
// may have started again.
func (p *Prober) checkLeaving(ctx context.Context, u *routing.Upstream, url string) {
	sent := clock.Now()
	resp, err := p.get(ctx, url)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if health := p.ParseHeader(resp.Header); resp.StatusCode == http.StatusOK && health.ID == u.ID && !health.Leaving {
		p.recordColdTime(ctx, u, sent, health)
		u.Counters.ClearLeaving(sent)
	}
}

func (p *Prober) get(ctx context.Context, url string) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, url, nil)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	go watchCheck(ctx, cancel, &connected)
	resp, err := p.client.Do(req)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp.Body = checkBody{ReadCloser: resp.Body, end: func() { cancel(nil) }}
	return resp, nil
}

// The reasons for which a check is canceled. errRanLate tells nothing of the upstream.
var (
	errDialTimeout  = errors.New("no connection within the timeout")
	errCheckTimeout = errors.New("no response within the timeout")
	errRanLate      = errors.New("this process ran so late that it cannot tell whether the upstream responds")
)

// watchCheck cancels a check after its timeout, or that of its connection.
func watchCheck(ctx context.Context, cancel context.CancelCauseFunc, connected *atomic.Bool) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for timer := clock.StartRunTimer(clock.Now()); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			timer.Observe(clock.Now())
			cancel := func(timeout time.Duration, cause error) {
				if expired, late := timer.Expired(timeout); late {
					cancel(errRanLate)
				} else if expired {
					cancel(cause)
				}
			}
			if !connected.Load() {
				cancel(dialTimeout, errDialTimeout)
			}
			cancel(checkTimeout, errCheckTimeout)
		}
	}
}

// checkBody ends a check when the body of its response is closed.
type checkBody struct {
	io.ReadCloser
	end func()
}

func (b checkBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// checkUpstream makes one health check and posts a HealthCheckPassedEvent if the upstream
// passes.
func (p *Prober) checkUpstream(ctx context.Context, id, url string) {
	sent := clock.Now()
	resp, err := p.get(ctx, url)
	if err != nil {
		p.logFailed(id, err.Error())
		return
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxBodyBytes)
	health := p.ParseHeader(resp.Header)
	if resp.StatusCode != http.StatusOK || health.ID != id || health.Leaving {
		p.logFailed(id, fmt.Sprintf("status %d from upstream %q, leaving %t", resp.StatusCode, health.ID, health.Leaving))
		return
	}
	p.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "upstream_back",
		telemetry.FieldUpstream: id,
		telemetry.FieldColdFor:  health.ColdFor.Milliseconds(),
	}).Info("paused upstream passed a health check")
	p.reportColdTime(ctx, id, sent, health)
	p.Loop.Post(ctx, control.HealthCheckPassedEvent{Upstream: id, Sent: sent, ColdFor: health.ColdFor})
}

func (p *Prober) logFailed(id, cause string) {
	p.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "health_check_failed",
		telemetry.FieldUpstream: id,
		telemetry.FieldCause:    cause,
	}).Info("an upstream that is paused, or owes responses and is silent, failed a health check and gets no requests until it passes one")
}
