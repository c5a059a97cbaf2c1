package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

const (
	// reportDelayPerInstance times the instances of the region bounds the random time for which a report is held
	// back. Most of them notice the same restart, and those that have heard of it by then do not report it.
	reportDelayPerInstance = time.Millisecond
	// maxReportTargets is the number of instances to which a report is sent. In a larger region, each of them passes
	// what is new to it on to passedOnTo others, which reaches nearly all in a few steps without a connection
	// between every two instances.
	maxReportTargets = 32
	passedOnTo       = 4
	// maxHops is how often a report is passed on at most. Each hop adds its delay to the times of a report, so that one
	// that is late counts as new again where the restart is known.
	maxHops = 3
	// reportedFor is how long a reported restart is not reported again. The cold times that two instances learn of
	// one process differ by less than reportedColdSlack.
	reportedFor       = 2 * time.Second
	reportedColdSlack = 300 * time.Millisecond
)

// RestartReporter tells the other instances of the region at once of upstreams that ended, or started again under their
// ids. Instances that hold no connection to such an upstream notice nothing themselves. It is safe for concurrent use.
type RestartReporter struct {
	Identity control.Identity
	Loop     *control.Loop
	Client   *Client
	Log      *logrus.Entry
	// Wake, if it is not nil, gets a value when a report needs a health check.
	Wake chan<- struct{}

	mu      sync.Mutex
	pending []control.RestartReport
	// known holds what was reported lately, by this instance or another, by upstream.
	known map[string]knownRestart
}

// knownRestart is the latest report of an upstream.
type knownRestart struct {
	endedAt   time.Time
	coldUntil time.Time
}

// isNew reports whether the report adds something to what is known, and notes it if so. checkedAfter is true if a health
// check after the last known end has told that the upstream is back. The mutex must be held.
func (r *RestartReporter) isNew(report control.RestartReport, checkedAfter bool) bool {
	if r.known == nil {
		r.known = map[string]knownRestart{}
	}
	known := r.known[report.Upstream]
	if report.ColdFor > 0 {
		coldUntil := report.NoticedAt.Add(report.ColdFor)
		if coldUntil.Sub(known.coldUntil) < reportedColdSlack {
			return false
		}
		known.coldUntil = coldUntil
	} else {
		if report.NoticedAt.Sub(known.endedAt) < reportedFor && !(checkedAfter && report.NoticedAt.After(known.endedAt)) {
			return false
		}
		known.endedAt = report.NoticedAt
	}
	r.known[report.Upstream] = known
	return true
}

// checkedAfterEnd reports whether a health check after the last known end of an upstream told that it is back. The
// mutex must be held.
func (r *RestartReporter) checkedAfterEnd(s *routing.Snapshot, upstream string) bool {
	u := upstreamByID(s, upstream)
	return u != nil && u.Counters.CheckedSince(r.known[upstream].endedAt)
}

// Report tells the other instances of the region, unless one of them reports the same first. It does not wait.
func (r *RestartReporter) Report(ctx context.Context, report control.RestartReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, report)
	if len(r.pending) == 1 {
		instances := len(regionAddresses(r.Loop.Snapshot(), r.Identity)) + 1
		time.AfterFunc(rand.N(time.Duration(instances)*reportDelayPerInstance), func() { r.send(ctx) })
	}
}

// send sends the pending reports that no other instance has made.
func (r *RestartReporter) send(ctx context.Context) {
	snapshot := r.Loop.Snapshot()
	r.mu.Lock()
	var reports []control.RestartReport
	for _, report := range r.pending {
		if r.isNew(report, r.checkedAfterEnd(snapshot, report.Upstream)) {
			reports = append(reports, report)
		}
	}
	r.pending = nil
	r.mu.Unlock()
	if len(reports) == 0 || ctx.Err() != nil {
		return
	}
	addresses := regionAddresses(snapshot, r.Identity)
	for _, report := range reports {
		r.log("sent", report)
	}
	r.sendTo(ctx, sample(addresses, maxReportTargets), reports)
}

// sendTo sends reports and does not wait. A lost one needs no action: heartbeats and rows tell of cold upstreams.
func (r *RestartReporter) sendTo(ctx context.Context, addresses []string, reports []control.RestartReport) {
	req := encodeRestarts(reports, clock.Now())
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, routing.MaxReportTime)
			defer cancel()
			_, _ = r.Client.ServiceClient(address).ReportRestarts(ctx, connect.NewRequest(req))
		}()
	}
}

// sample returns up to n of the addresses at random. It reorders them.
func sample(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// receive applies reports of another instance.
func (r *RestartReporter) receive(ctx context.Context, reports []control.RestartReport) {
	snapshot := r.Loop.Snapshot()
	var fresh []control.RestartReport
	r.mu.Lock()
	for _, report := range reports {
		if r.isNew(report, r.checkedAfterEnd(snapshot, report.Upstream)) {
			fresh = append(fresh, report)
		}
	}
	r.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	for _, report := range fresh {
		if u := upstreamByID(snapshot, report.Upstream); u != nil && u.MayBecomeCold {
			r.log("received", report)
			applyRestart(u.Counters, report)
		}
	}
	select {
	case r.Wake <- struct{}{}:
	default:
	}
	r.Loop.Post(ctx, control.RestartsReportedEvent{Reports: fresh})
	addresses, passed := regionAddresses(snapshot, r.Identity), passedOn(fresh)
	if len(addresses) > maxReportTargets && len(passed) > 0 {
		r.sendTo(context.WithoutCancel(ctx), sample(addresses, passedOnTo), passed)
	}
}

// passedOn returns the reports that an instance passes on of those that are new to it.
func passedOn(fresh []control.RestartReport) (passed []control.RestartReport) {
	for _, report := range fresh {
		if report.Hops < maxHops {
			report.Hops++
			passed = append(passed, report)
		}
	}
	return passed
}

func applyRestart(c *routing.Counters, report control.RestartReport) {
	if report.ColdFor > 0 {
		c.RecordColdUntil(report.NoticedAt.Add(report.ColdFor))
	} else {
		c.SuspectReportedRestart(report.NoticedAt)
	}
}

func (r *RestartReporter) log(change string, report control.RestartReport) {
	r.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "restart_reported",
		telemetry.FieldUpstream: report.Upstream,
		telemetry.FieldChange:   change,
		telemetry.FieldColdFor:  report.ColdFor.Milliseconds(),
	}).Info("an instance told the others of its region that an upstream ended or started again")
}

// prune forgets what is too old to matter.
func (r *RestartReporter) prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, known := range r.known {
		if now.Sub(known.endedAt) > reportedFor && now.After(known.coldUntil) {
			delete(r.known, id)
		}
	}
}

// Run forgets old reports until ctx ends.
func (r *RestartReporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportedFor)
		r.prune(clock.Now())
	}
}

// regionAddresses returns the peer addresses of the other live or listed instances of the region.
func regionAddresses(s *routing.Snapshot, self control.Identity) (addresses []string) {
	seen := map[string]bool{self.PeerAddress: true}
	add := func(region, address string) {
		if region == self.Region && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for i := range s.Peers {
		add(s.Peers[i].Region, s.Peers[i].PeerAddress)
	}
	for _, c := range s.ListedPeers {
		add(c.Region, c.PeerAddress)
	}
	return addresses
}

func upstreamByID(s *routing.Snapshot, id string) *routing.Upstream {
	for i := range s.Upstreams {
		if s.Upstreams[i].ID == id {
			return &s.Upstreams[i]
		}
	}
	return nil
}

func encodeRestarts(reports []control.RestartReport, now time.Time) *peerv1.ReportRestartsRequest {
	req := &peerv1.ReportRestartsRequest{}
	for _, report := range reports {
		req.Reports = append(req.Reports, &peerv1.RestartReport{
			Upstream: report.Upstream, AgeMs: max(now.Sub(report.NoticedAt).Milliseconds(), 0), ColdMs: report.ColdFor.Milliseconds(),
			Hops: report.Hops,
		})
	}
	return req
}

func decodeRestarts(req *peerv1.ReportRestartsRequest, now time.Time) (reports []control.RestartReport) {
	for _, report := range req.GetReports() {
		reports = append(reports, control.RestartReport{
			Upstream:  report.GetUpstream(),
			NoticedAt: now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond),
			ColdFor:   time.Duration(report.GetColdMs()) * time.Millisecond,
			Hops:      report.GetHops(),
		})
	}
	return reports
}

// ReportRestarts applies reports of another instance of the region.
func (s *Server) ReportRestarts(ctx context.Context, req *connect.Request[peerv1.ReportRestartsRequest]) (*connect.Response[peerv1.ReportRestartsResponse], error) {
	if s.Restarts != nil {
		s.Restarts.receive(ctx, decodeRestarts(req.Msg, clock.Now()))
	}
	return connect.NewResponse(&peerv1.ReportRestartsResponse{}), nil
}
