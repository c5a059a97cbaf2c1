package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/duty"
	"heatherloom/internal/dutystatus"
	"heatherloom/internal/external"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/settings"
	"heatherloom/internal/storefeed"
	"heatherloom/internal/telemetry"
	"heatherloom/platform"
)

// dutyReleaseTimeout bounds the release of the duties. Without it, their leases expire by themselves.
const dutyReleaseTimeout = 2 * time.Second

// duties are the calls to the platform that one instance makes at a time, as this instance takes
// part in them.
type duties struct {
	names   []external.Duty
	holders map[external.Duty]*duty.Holder
	tracker *dutystatus.Tracker

	mu sync.Mutex
	// holderIDs are the instances that hold the duties according to the store; empty for none.
	holderIDs map[external.Duty]string
}

// wireDuties returns nil if the settings do not name the API or no duty that this instance knows.
func (n *Node) wireDuties(s settings.Settings, log *logrus.Entry, identity control.Identity, store *platform.Store, metrics *telemetry.Metrics) *duties {
	d := &duties{holders: map[external.Duty]*duty.Holder{}, holderIDs: map[external.Duty]string{}}
	for _, name := range []external.Duty{external.DutyUsageReport} {
		if slices.Contains(s.Duties.Names, string(name)) {
			d.names = append(d.names, name)
		}
	}
	if s.Duties.API == "" || len(d.names) == 0 {
		return nil
	}
	api, err := platform.NewDutyAPI(s.Duties.API, duty.CallTimeout(s.Duties.Lease))
	if err != nil {
		log.WithField(telemetry.FieldEvent, "duties").WithError(err).Error("the duty API cannot be used; this instance holds no duty")
		return nil
	}
	sources := telemetry.DutySources{Held: map[string]func() float64{}}
	eraStore := platform.NewEraStore(store)
	for _, name := range d.names {
		holder := duty.New(duty.Config{
			Store: eraStore, Duty: name, Instance: identity.ID, Started: identity.Incarnation,
			LeaseTime: s.Duties.Lease, Live: n.livePeers, Now: clock.Now, Log: log,
		})
		d.holders[name] = holder
		sources.Held[string(name)] = func() float64 {
			if _, held := holder.Term(); held {
				return 1
			}
			return 0
		}
	}
	d.tracker = dutystatus.New(api, s.Duties.UsageWindow, metrics.RegisterDuties(sources), log, time.Now)
	return d
}

// livePeers returns the IDs of the other instances that live and do not drain.
func (n *Node) livePeers() []string {
	var ids []string
	for _, p := range n.loop.Snapshot().Peers {
		if !p.Draining && !p.Suspect {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// start runs the holders until the instance stops, and releases the duties on a drain.
func (d *duties) start(n *Node) {
	if d == nil {
		return
	}
	for _, holder := range d.holders {
		n.wg.Go(func() { holder.Run(n.ctx) })
	}
	n.wg.Go(func() {
		select {
		case <-n.ctx.Done():
		case <-n.drain.DrainRequested():
			d.release(n.ctx)
		}
	})
}

// release gives up all duties, so that other instances take them over at once.
func (d *duties) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dutyReleaseTimeout)
	defer cancel()
	var releases sync.WaitGroup
	for _, holder := range d.holders {
		releases.Go(func() { holder.Release(ctx) })
	}
	releases.Wait()
}

// observer returns what the store feed passes on; nil without duties.
func (d *duties) observer() *storefeed.Observer {
	if d == nil {
		return nil
	}
	o := &storefeed.Observer{Observe: d.observe}
	for _, name := range d.names {
		o.Keys = append(o.Keys, duty.Key(name))
	}
	return o
}

func (d *duties) observe(e external.Entry, era int64) {
	var row duty.Row
	_ = json.Unmarshal(e.Value, &row)
	for name, holder := range d.holders {
		if e.Key != duty.Key(name) {
			continue
		}
		holder.Observe(e, era)
		d.mu.Lock()
		d.holderIDs[name] = row.Holder
		d.mu.Unlock()
	}
}

// status returns the state of all duties; nil without any.
func (d *duties) status() []operatorapi.Duty {
	if d == nil {
		return nil
	}
	var list []operatorapi.Duty
	for _, name := range d.names {
		status := d.tracker.Status(name)
		_, status.Held = d.holders[name].Term()
		fence, _, _ := d.holders[name].Permit()
		status.Token = fence.Token
		d.mu.Lock()
		status.Holder = cmp.Or(fence.Holder, d.holderIDs[name])
		d.mu.Unlock()
		list = append(list, status)
	}
	return list
}
