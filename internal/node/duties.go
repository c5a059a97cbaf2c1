package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/autoscale"
	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/duty"
	"heatherloom/internal/dutystatus"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/peer"
	"heatherloom/internal/routing"
	"heatherloom/internal/settings"
	"heatherloom/internal/storefeed"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/usage"
	"heatherloom/platform"
)

const (
	// dutyReleaseTimeout bounds the release of the duties. Without it, their leases expire by themselves.
	dutyReleaseTimeout = 2 * time.Second
	// usageFlushTimeout bounds the transfer of the last counts of usage, which takes a round trip.
	usageFlushTimeout = 500 * time.Millisecond
)

// duties are the calls to the platform that one instance makes at a time, as this instance takes
// part in them.
type duties struct {
	names   []external.Duty
	holders map[external.Duty]*duty.Holder
	tracker *dutystatus.Tracker
	// usage counts requests and reports them; nil without the duty. recentPeers are the instances to
	// which it sends copies.
	usage       *usage.Reporter
	recentPeers *peer.RecentPeers
	// autoscaler orders upstreams; nil without the duty. rejections are requests without an upstream or
	// room, which it counts.
	autoscaler *autoscale.Autoscaler
	rejections *routing.Rejections

	mu sync.Mutex
	// holderIDs are the instances that hold the duties according to the store; empty for none.
	holderIDs map[external.Duty]string
}

// wireDuties returns nil if the settings do not name the API or no duty that this instance knows.
func (n *Node) wireDuties(s settings.Settings, log *logrus.Entry, identity control.Identity, store *platform.Store, peers *peer.Client, metrics *telemetry.Metrics) *duties {
	d := &duties{holders: map[external.Duty]*duty.Holder{}, holderIDs: map[external.Duty]string{}}
	for _, name := range []external.Duty{external.DutyUsageReport, external.DutyAutoscaler} {
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
	usageClock := usage.NewClock()
	sources.Windows, sources.Ordered = d.usageWindows, d.orderedCapacity
	date := func() time.Time { return usageClock.Date(clock.Now()) }
	d.tracker = dutystatus.New(api, s.Duties.UsageWindow, metrics.RegisterDuties(sources), log, date)
	if holder := d.holders[external.DutyUsageReport]; holder != nil {
		d.recentPeers = &peer.RecentPeers{}
		d.usage = &usage.Reporter{
			Config: usage.Config{Window: s.Duties.UsageWindow, Due: s.Duties.UsageDue, Lease: s.Duties.Lease, CallTimeout: duty.CallTimeout(s.Duties.Lease)},
			Ledger: usage.NewLedger(usage.Process{Instance: identity.ID, Started: identity.Incarnation}, s.Duties.UsageWindow),
			Clock:  usageClock,
			Permit: holder.Permit, Outcome: holder.ReportOutcome,
			Store: eraStore, API: d.tracker,
			Peers: &peer.UsagePeers{Identity: identity, Loop: n.loop, Client: peers, Recent: d.recentPeers},
			Log:   log, Now: clock.Now,
		}
	}
	if holder := d.holders[external.DutyAutoscaler]; holder != nil {
		d.rejections = &routing.Rejections{}
		collector := &peer.LoadCollector{Identity: identity, Loop: n.loop, Client: peers, Rejections: d.rejections}
		d.autoscaler = &autoscale.Autoscaler{
			Permit: holder.Permit, API: d.tracker, CallTimeout: holder.CallTimeout(), ReportOutcome: holder.ReportOutcome, Collect: collector.Collect,
			Services: func() map[string]opconfig.Service { return n.loop.Snapshot().Config.Services },
			Now:      clock.Now, Log: log,
		}
	}
	return d
}

// connect makes the requests and the messages of other instances known to the duties.
func (d *duties) connect(dispatcher *dispatch.Dispatcher, heartbeats *peer.Heartbeater, server *peer.Server) {
	if d == nil {
		return
	}
	server.Rejections = d.rejections
	if d.usage == nil {
		return
	}
	dispatcher.CountUsage = d.usage.Count
	heartbeats.Recent, heartbeats.UsageClock = d.recentPeers, d.usage.Clock
	server.Usage = d.usage
}

// countedRejections returns where requests without an upstream or room are counted; nil for nowhere.
func (d *duties) countedRejections() *routing.Rejections {
	if d == nil {
		return nil
	}
	return d.rejections
}

// usageWindows returns the windows that this instance reported or left out, by outcome.
func (d *duties) usageWindows() map[string]int64 {
	if d.usage == nil {
		return nil
	}
	windows := map[string]int64{}
	for outcome, n := range d.usage.Status().Windows {
		windows[string(outcome)] = n
	}
	return windows
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
	if d.usage != nil {
		n.wg.Go(func() { d.usage.Run(n.ctx) })
	}
	if d.autoscaler != nil {
		n.wg.Go(func() { d.autoscaler.Run(n.ctx) })
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

// flush passes the counts of usage on to other instances after the last request. Without it, the holder waits
// for the counts of the last second.
func (d *duties) flush(ctx context.Context) {
	if d != nil && d.usage != nil {
		ctx, cancel := context.WithTimeout(ctx, usageFlushTimeout)
		defer cancel()
		d.usage.Flush(ctx)
	}
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

// orderedCapacity returns the orders that the API accepted from this instance as the holder of the duty.
func (d *duties) orderedCapacity() (ordered []telemetry.OrderedCapacity) {
	for _, o := range d.orders() {
		ordered = append(ordered, telemetry.OrderedCapacity{Service: o.Service, FailureDomain: o.FailureDomain, Upstreams: o.Ordered})
	}
	return ordered
}

func (d *duties) orders() (orders []operatorapi.DutyCapacity) {
	if d.autoscaler == nil {
		return nil
	}
	for _, s := range d.autoscaler.Status() {
		if s.AcceptedAt.IsZero() {
			continue
		}
		orders = append(orders, operatorapi.DutyCapacity{
			Service: s.Service, FailureDomain: s.FailureDomain, Ordered: s.Accepted, Running: s.Running, Reason: s.Reason,
		})
	}
	return orders
}

// usageStatus returns nil for an instance that has not held the duty.
func (d *duties) usageStatus() *operatorapi.DutyUsage {
	windows := d.usageWindows()
	if len(windows) == 0 {
		return nil
	}
	s := d.usage.Status()
	return &operatorapi.DutyUsage{LastWindow: s.LastWindow, LastDelaySeconds: s.LastDelay.Seconds(), Windows: windows}
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
		if u := d.usageStatus(); u != nil && name == external.DutyUsageReport {
			status.Usage = u
		}
		if name == external.DutyAutoscaler {
			status.Orders = d.orders()
		}
		list = append(list, status)
	}
	return list
}
