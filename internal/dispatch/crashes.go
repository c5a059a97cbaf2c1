package dispatch

// This file detects upstreams that end while they execute a request.

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/errkind"
	"heatherloom/internal/membership"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
)

// crashState holds what is known of the attempts of this instance. The zero value is ready to
// use.
type crashState struct {
	once        sync.Once
	attempts    *quarantine.Attempts
	completions *quarantine.Completions
	// partCompletions remembers the parts of the prompts of completed requests, and
	// reportedParts when those of suspected parts were last reported.
	partCompletions *quarantine.Completions
	reportedParts   map[quarantine.Fingerprint]time.Time
}

// maxCompletionBytes is the size of a body up to which completions are remembered. Longer bodies
// are rarely sent twice, and hashing each of them costs time.
const maxCompletionBytes = 4 << 10

// crashSweepInterval is the time between two searches for upstreams that ended silently.
const crashSweepInterval = 250 * time.Millisecond

// DetectCrashes reports upstreams that ended silently, and completions of requests with suspected
// parts in their prompts, until ctx ends.
func (d *Dispatcher) DetectCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot := d.Snapshot()
		crashes, completed := d.openAttempts().Sweep(clock.Now(), listedProcesses(snapshot))
		for _, c := range crashes {
			d.reportCrash(c, "its row, or the end of another connection, shows that the upstream ended")
		}
		for _, c := range completed {
			d.crashes().completions.Add(clock.Now(), c.AtService)
			d.recordParts(c.Parts, c.Status)
		}
		d.reportCompletedParts(snapshot.SuspectedParts)
		clock.Sleep(ctx, crashSweepInterval)
	}
}

// reportCompletedParts reports the completions of requests with suspected parts that were not
// reported yet.
func (d *Dispatcher) reportCompletedParts(suspected map[quarantine.Fingerprint]int) {
	if d.ReportCompletedParts == nil || len(suspected) == 0 {
		return
	}
	s, now := d.crashes(), clock.Now()
	completed, reported := map[quarantine.Fingerprint]time.Time{}, map[quarantine.Fingerprint]time.Time{}
	for part := range suspected {
		at, known := s.partCompletions.Last(now, part)
		if !known {
			continue
		}
		reported[part] = at
		if at.After(s.reportedParts[part]) {
			completed[part] = at
		}
	}
	s.reportedParts = reported
	if len(completed) > 0 {
		d.ReportCompletedParts(completed)
	}
}

// listedProcesses returns the processes of the listed upstreams and whether each is draining or its end is due.
func listedProcesses(s *routing.Snapshot) map[quarantine.Process]bool {
	now := clock.Now()
	listed := make(map[quarantine.Process]bool, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		listed[processOf(u)] = u.Draining || u.EndIsDue(now)
	}
	return listed
}

// endWasDue reports whether a process was announced to end by now, also if that was after the attempt began.
func (d *Dispatcher) endWasDue(u *routing.Upstream) bool {
	process, now := processOf(u), clock.Now()
	return slices.ContainsFunc(d.Snapshot().Upstreams, func(listed routing.Upstream) bool {
		return processOf(&listed) == process && listed.EndIsDue(now)
	})
}

func processOf(u *routing.Upstream) quarantine.Process {
	return quarantine.Process{Upstream: u.ID, Address: u.Address, StartedAt: u.StartedAt}
}

func (d *Dispatcher) openAttempts() *quarantine.Attempts { return d.crashes().attempts }

func (d *Dispatcher) crashes() *crashState {
	s := &d.crashState
	s.once.Do(func() {
		s.attempts = quarantine.NewAttempts()
		s.completions, s.partCompletions = quarantine.NewCompletions(), quarantine.NewCompletions()
	})
	return s
}

func (d *Dispatcher) beginAttempt(r *Request, u *routing.Upstream) *quarantine.Attempt {
	return d.openAttempts().Begin(clock.Now(), processOf(u), r.subject)
}

// subject returns what a crash under the request may be due to.
func (r *Request) subject() quarantine.Subject {
	content := r.content()
	s := quarantine.Subject{Request: r.Fingerprint(), AtService: content.AtService(r.service()), Parts: r.parts}
	if r.RouteParams != nil {
		s.AtHost = content.AtHost(r.RouteParams.Host)
	}
	return s
}

// Fingerprint identifies the request of its client account in reports of crashes. It depends only on
// what the caller sent.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	target := r.service()
	if r.RouteParams != nil {
		target = strings.ToLower(r.RouteParams.Host)
	}
	return quarantine.FingerprintOf(r.Account, target, r.Method, r.Path, r.Body)
}

// ContentFingerprints returns the fingerprints of the content of the request, whichever client account
// sends it, at its service and at its host. A quarantine names one of them if several accounts sent it.
func (r *Request) ContentFingerprints() []quarantine.Fingerprint {
	s := r.subject()
	return []quarantine.Fingerprint{s.AtService, s.AtHost}
}

// content identifies what an upstream executes.
func (r *Request) content() quarantine.Content {
	return quarantine.ContentOf(r.Method, r.Path, r.Body)
}

// service returns the service or model that the request is sent to, without a version.
func (r *Request) service() string {
	service, _, _ := strings.Cut(r.Target, "@")
	return service
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last, which
// belongs to the request or its session.
func sharedParts(p *RouteParams) (parts []quarantine.Fingerprint) {
	if p == nil || len(p.PromptParts) < 2 {
		return nil
	}
	for _, part := range p.PromptParts[:len(p.PromptParts)-1] {
		parts = append(parts, quarantine.PartFingerprint(part.ID))
	}
	return parts
}

// endAttempt records how an attempt ended; status is that of the response. Nothing is known of the
// request if the upstream sent no complete response and kept the connection open, or if only the end
// of the connection marked the end of the response.
func (d *Dispatcher) endAttempt(r *Request, a *quarantine.Attempt, result relay.Result, status int) {
	now := clock.Now()
	unanswered := result.Outcome == retry.TimedOut || result.Outcome == retry.RequestEnded
	if unanswered && result.Err.Execution != errkind.NotExecuted {
		a.Abandon(now)
		return
	}
	if result.Outcome == retry.Delivered || result.Outcome == retry.Rejected || result.Outcome == retry.Failed {
		a.Progress(now)
	}
	switch {
	case connectionBroke(result):
		a.Break(now)
	case result.EndedByClose && result.Outcome != retry.Rejected:
		if result.Err != nil {
			status = 0
		}
		a.FinishUnproven(now, status)
	default:
		if result.Err == nil {
			d.recordCompletion(r, status)
		}
		a.Finish(now)
	}
}

// connectionBroke reports whether the connection to the upstream broke before the end of the response.
func connectionBroke(result relay.Result) bool {
	return result.Outcome == retry.Crashed || (result.Outcome == retry.Truncated && result.ConnectionBroken)
}

// recordCompletion remembers that a request got its complete response.
func (d *Dispatcher) recordCompletion(r *Request, status int) {
	if len(r.Body) <= maxCompletionBytes {
		d.crashes().completions.Add(clock.Now(), r.content().AtService(r.service()))
	}
	d.recordParts(r.parts, status)
}

// recordParts remembers the parts of the prompt of a request with a complete response. An upstream that
// answers with an error has not generated from the prompt.
func (d *Dispatcher) recordParts(parts []quarantine.Fingerprint, status int) {
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return
	}
	for _, part := range parts {
		d.crashes().partCompletions.Add(clock.Now(), part)
	}
}

// countCrash records in result that the connection to the upstream broke, and reports it as a
// crash. A break in the middle of the response counts as well: the upstream may have ended
// under the request, whether or not the stream can be resumed elsewhere. One that ended when its row said is no crash.
func (d *Dispatcher) countCrash(r *Request, u *routing.Upstream, result *relay.Result) {
	if !connectionBroke(*result) || d.endWasDue(u) {
		return
	}
	result.Crashes = 1
	s := r.subject()
	d.reportCrash(quarantine.Crash{
		Fingerprint: s.Request, AtService: s.AtService, AtHost: s.AtHost, Parts: s.Parts,
		Upstream: u.ID, StartedAt: u.StartedAt, SeenAt: clock.Now().UnixNano(),
	}, "the connection broke")
}

// reportCrash reports a crash unless the content of the request recently completed at the service,
// whichever client account sent it. Parts of its prompt that recently completed are left out.
func (d *Dispatcher) reportCrash(c quarantine.Crash, reason string) {
	if d.ReportCrash == nil || d.crashes().completions.Has(clock.Now(), c.AtService) {
		return
	}
	c.Parts = d.crashes().partCompletions.NotRecent(time.Unix(0, c.SeenAt), c.Parts)
	d.ReportCrash(c, reason)
}

// maxCrashesBeforeRetry is the number of processes that may have ended under a part of the prompt of
// an interrupted request that is sent to another upstream.
const maxCrashesBeforeRetry = 1

// suspected reports whether upstreams repeatedly ended under a part of the prompt.
func (d *Dispatcher) suspected(r *Request) bool {
	suspected := d.Snapshot().SuspectedParts
	if len(suspected) == 0 {
		return false
	}
	return slices.ContainsFunc(r.parts, func(part quarantine.Fingerprint) bool { return suspected[part] > maxCrashesBeforeRetry })
}

// contestedPart returns the contested part for which the request is rejected, if nothing else of the request
// is in quarantine or implicated, so that its outcome tells about the part.
func (d *Dispatcher) contestedPart(r *Request) (part quarantine.Fingerprint, ok bool) {
	s := d.Snapshot()
	if len(s.ImplicatedParts) == 0 || len(s.Quarantined) == 0 {
		return 0, false
	}
	subject := r.subject()
	for _, f := range []quarantine.Fingerprint{subject.Request, subject.AtService, subject.AtHost} {
		if _, quarantined := s.Quarantined[f]; quarantined {
			return 0, false
		}
	}
	for _, f := range subject.Parts {
		contested, implicated := s.ImplicatedParts[f]
		_, quarantined := s.Quarantined[f]
		if !implicated && !quarantined {
			continue
		}
		if ok || !contested || !quarantined {
			return 0, false
		}
		part, ok = f, true
	}
	return part, ok
}

// beginProbe reports whether the request is sent although a part of its prompt is in quarantine, to find
// out whether the part is harmful. The instances of a region take turns.
func (d *Dispatcher) beginProbe(r *Request) (part quarantine.Fingerprint, ok bool) {
	part, ok = d.contestedPart(r)
	if !ok {
		return 0, false
	}
	rank := func() int {
		s := d.Snapshot()
		ids := []string{s.SelfID}
		for i := range s.Peers {
			if s.Peers[i].Region == s.Region && !s.Peers[i].Suspect {
				ids = append(ids, s.Peers[i].ID)
			}
		}
		return membership.Rank(part.String(), s.SelfID, ids)
	}
	if !d.probes.Begin(clock.Now(), part, rank) {
		return 0, false
	}
	if d.ReportProbe != nil {
		d.ReportProbe(part, r.ID)
	}
	return part, true
}
