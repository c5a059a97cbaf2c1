package rolloutctl

import (
	"context"
	"encoding/json"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/lease"
	"heatherloom/internal/rollout"
)

const (
	recordPrefix   = "/heatherloom/rollouts/"
	evidencePrefix = "/heatherloom/evidence/"
)

// record is the stored state of a rollout.
type record struct {
	state rollout.Rollout
	// modRevision is the store's ModRevision of the key; 0 if the key does not exist.
	modRevision int64
}

// records is indexed by Rollout.ID.
type records map[string]record

// forTarget returns the states of the rollouts of a target, given by its name without a version.
func (r records) forTarget(target string) []rollout.Rollout {
	var rollouts []rollout.Rollout
	for _, rec := range r {
		if rec.state.Target == target {
			rollouts = append(rollouts, rec.state)
		}
	}
	return rollouts
}

// readRecords reads the states of all rollouts and posts them to control. Because it runs
// before every decision, a write whose response was lost is read back before the next one.
func (c *Controller) readRecords(ctx context.Context) (records, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := c.Store.List(ctx, recordPrefix)
	if err != nil {
		return nil, err
	}
	result := records{}
	var rollouts []rollout.Rollout
	for _, entry := range entries {
		var r rollout.Rollout
		if err := json.Unmarshal(entry.Value, &r); err != nil || r.Step < 0 || r.Step >= rollout.Steps {
			c.Log.WithField("event", "rollout").WithField("key", entry.Key).Warn("stored rollout state is invalid; this rollout does not advance until the key is repaired or deleted")
			continue
		}
		result[r.ID()] = record{state: r, modRevision: entry.ModRevision}
		rollouts = append(rollouts, r)
	}
	if len(rollouts) > 0 {
		c.Loop.Post(ctx, control.ModelRolloutsEvent{Rollouts: rollouts})
	}
	return result, nil
}

// leaseCondition returns the condition that this instance still holds the lease.
func (c *Controller) leaseCondition() external.Condition {
	return external.Condition{Key: lease.DomainKey(c.Identity.FailureDomain), ModRevision: c.term.token}
}

// write replaces the stored state of a rollout. A final state is never replaced, because
// Step returns it unchanged and the write requires the ModRevision that was read. The log line
// gives the new state, its share and its reason as fields.
func (c *Controller) write(ctx context.Context, old record, next rollout.Rollout) {
	next.Sequence = old.state.Sequence + 1
	raw, err := json.Marshal(next)
	if err != nil {
		c.warn("encoding a rollout state failed", err)
		return
	}
	key := recordPrefix + next.ID()
	writes := []external.Write{{Key: key, Value: raw}}
	if next.Final() {
		prefix := evidencePrefix + next.ID() + "/"
		writes = append(writes, external.Write{Key: prefix, RangeEnd: prefixEnd(prefix), Delete: true})
	}
	if !c.commit(ctx, external.Condition{Key: key, ModRevision: old.modRevision}, writes) {
		return
	}
	c.Log.WithField("event", "rollout").WithField("move", next.ID()).WithField("state", next.State).
		WithField("percent", next.Percent()).WithField("reason", next.Reason).Info("rollout state changed")
	c.Loop.Post(ctx, control.ModelRolloutsEvent{Rollouts: []rollout.Rollout{next}})
	if next.State != old.state.State {
		go c.AnnounceToDomain(ctx)
	}
}

func (c *Controller) deleteRecord(ctx context.Context, r record) {
	key := recordPrefix + r.state.ID()
	c.commit(ctx, external.Condition{Key: key, ModRevision: r.modRevision}, []external.Write{{Key: key, Delete: true}})
}

// commit writes on the conditions that the key is unchanged and the lease is still held.
// It returns false if a condition failed or the response was lost.
func (c *Controller) commit(ctx context.Context, unchanged external.Condition, writes []external.Write) bool {
	if !c.holdsLease() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ok, _, err := c.Store.Commit(ctx, []external.Condition{unchanged, c.leaseCondition()}, writes)
	if err != nil {
		c.warn("writing a rollout state failed; the record is read again in the next reconciliation", err)
	}
	return err == nil && ok
}

// prefixEnd returns the exclusive end of the range of keys with a prefix that ends in a
// slash; '0' is the byte after '/'.
func prefixEnd(prefix string) string { return prefix[:len(prefix)-1] + "0" }
