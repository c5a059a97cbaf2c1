package rolloutctl

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// storeTimeout bounds a store call, so that an unresponsive store does not delay orders.
const storeTimeout = 2 * time.Second

// report is the evidence of one failure domain for a rollout, stored under evidencePrefix.
// rollout.Evidence is the merged result of the reports of all domains.
type report struct {
	Samples   []rollout.KeyedSample `json:"samples"`
	Stops     []rollout.Stop        `json:"stops"`
	Upstreams rollout.Upstreams     `json:"upstreams"`
}

// reportChange is the last change of the report of a domain.
type reportChange struct {
	modRevision int64
	at          time.Time
}

// reportEvidence writes the merged evidence of the own failure domain for the rollouts in
// progress.
func (c *Controller) reportEvidence(ctx context.Context, s *routing.Snapshot, records records) {
	now := time.Now()
	if now.Sub(c.lastReport) < c.Timing.EvidenceInterval {
		return
	}
	c.lastReport = now
	samples := rollout.Samples{}
	samples.Merge(c.Recorder.List())
	for _, reported := range s.PeerSamples {
		samples.Merge(reported)
	}
	for id, r := range records {
		if r.state.Final() {
			continue
		}
		domainReport := report{Samples: samples.List(id), Upstreams: c.upstreams(s, r.state)}
		for _, stop := range s.RolloutStops {
			if stop.RolloutID == id {
				domainReport.Stops = append(domainReport.Stops, stop)
			}
		}
		if err := c.writeReport(ctx, r, domainReport); err != nil {
			c.warn("writing the rollout evidence failed", err)
		}
	}
}

// writeReport writes a report on the condition that the record of the rollout is
// unchanged, so that no report is left behind after the rollout has ended.
func (c *Controller) writeReport(ctx context.Context, r record, domainReport report) error {
	raw, err := json.Marshal(domainReport)
	if err != nil {
		return eris.Wrap(err, "encode evidence")
	}
	if !c.holdsLease() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := evidencePrefix + r.state.ID() + "/" + c.Identity.FailureDomain
	unchanged := external.Condition{Key: recordPrefix + r.state.ID(), ModRevision: r.modRevision}
	_, _, err = c.Store.Commit(ctx, []external.Condition{unchanged, c.leaseCondition()}, []external.Write{{Key: key, Value: raw}})
	return err
}

// upstreams counts the engines of the own failure domain that serve the target.
func (c *Controller) upstreams(s *routing.Snapshot, r rollout.Rollout) rollout.Upstreams {
	var u rollout.Upstreams
	for _, engine := range c.enginesOf(s, r.Target) {
		u.Total++
		if contains(engine.Targets, r.ID()) {
			u.Loaded++
		}
	}
	return u
}

// collectEvidence merges the reports of all failure domains.
func (c *Controller) collectEvidence(ctx context.Context, s *routing.Snapshot, r rollout.Rollout) (rollout.Evidence, rollout.Upstreams, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	prefix := evidencePrefix + r.ID() + "/"
	entries, err := c.Store.List(ctx, prefix)
	if err != nil {
		return rollout.Evidence{}, rollout.Upstreams{}, err
	}
	samples, stopped, upstreams := rollout.Samples{}, map[string]bool{}, rollout.Upstreams{}
	for _, stop := range s.RolloutStops {
		if stop.RolloutID == r.ID() {
			stopped[stop.Instance] = true
		}
	}
	for _, entry := range entries {
		c.trackReport(entry)
		var domainReport report
		if err := json.Unmarshal(entry.Value, &domainReport); err != nil {
			return rollout.Evidence{}, rollout.Upstreams{}, eris.Wrapf(err, "decode evidence %q", entry.Key)
		}
		samples.Merge(domainReport.Samples)
		upstreams.Total += domainReport.Upstreams.Total
		upstreams.Loaded += domainReport.Upstreams.Loaded
		for _, stop := range domainReport.Stops {
			stopped[stop.Instance] = true
		}
	}
	evidence := rollout.Evidence{
		Routes:     samples.Routes(r.ID(), r.Step),
		LocalStops: len(stopped),
		Complete:   c.complete(s, prefix),
	}
	return evidence, upstreams, nil
}

// trackReport remembers when, by its own clock, this instance saw the report change. A report
// already there at the first read has an unknown age and counts as missing until it changes.
func (c *Controller) trackReport(entry external.Entry) {
	before, known := c.reportChanges[entry.Key]
	switch {
	case !known:
		c.reportChanges[entry.Key] = reportChange{modRevision: entry.ModRevision}
	case before.modRevision != entry.ModRevision:
		c.reportChanges[entry.Key] = reportChange{modRevision: entry.ModRevision, at: time.Now()}
	}
}

// complete reports whether every failure domain with live entry instances has a recent
// report.
func (c *Controller) complete(s *routing.Snapshot, prefix string) bool {
	for _, domain := range liveDomains(s) {
		if time.Since(c.reportChanges[prefix+domain].at) > c.Timing.EvidenceMaxAge {
			return false
		}
	}
	return true
}

// targetName returns the model name of a reference of the form model@version.
func targetName(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}
