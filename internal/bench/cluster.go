package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/node"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/settings"
	"heatherloom/internal/standin"
)

const (
	loopback     = "127.0.0.1:0"
	peerSecret   = "bench-peer-secret"
	serviceName  = "ledger"
	routeOrders  = "/orders"
	routeStatus  = "/status"
	maxIsolation = 90 * time.Minute
	// unlimitedRate is the rate limit and burst of a client account that the experiment does
	// not limit, in requests per second.
	unlimitedRate = 1e6
	// readyPollInterval is the interval at which the readiness of the cluster is checked.
	readyPollInterval = 20 * time.Millisecond
)

// cluster is a deployment of a profile that runs in this process.
type cluster struct {
	profile   Profile
	store     *standin.Store
	instances *standin.InstanceList
	// The slices are indexed by region. engineInstances holds the entries of the engines in
	// the instance list.
	engines         [][]*standin.SimulatedEngine
	engineInstances [][]external.Instance
	services        [][]*standin.Service
	nodes           [][]*node.Node
	wan             *wan
}

// startCluster starts the stand-ins and the entry instances with a routing policy and
// waits until each instance knows all peers and its upstreams.
func startCluster(ctx context.Context, plan Plan, policy string) (*cluster, error) {
	p := plan.Profile
	scale := plan.Simulation.TimeScale
	c := &cluster{profile: p, wan: newWAN(len(p.Regions), time.Duration(float64(p.RegionLatency)/scale), p.RegionBandwidth*scale)}
	var err error
	if c.store, err = standin.StartStore(loopback); err != nil {
		return nil, err
	}
	if c.instances, err = standin.StartInstanceList(loopback); err != nil {
		return nil, err
	}
	if err := c.configure(ctx, plan); err != nil {
		return nil, err
	}
	for region := range p.Regions {
		if err := c.startRegion(plan, policy, region); err != nil {
			return nil, err
		}
	}
	return c, c.waitReady(ctx)
}

func (c *cluster) startRegion(plan Plan, policy string, region int) error {
	p := plan.Profile
	c.engines = append(c.engines, nil)
	c.engineInstances = append(c.engineInstances, nil)
	c.services = append(c.services, nil)
	c.nodes = append(c.nodes, nil)
	for i := range p.Engines[region] {
		params := plan.Simulation
		params.Model = modelName + "@" + modelVersion
		params.Seed = uint64(region*1000 + i)
		e, err := standin.StartSimulatedEngine(loopback, params)
		if err != nil {
			return err
		}
		c.engines[region] = append(c.engines[region], e)
		c.engineInstances[region] = append(c.engineInstances[region], external.Instance{
			ID: fmt.Sprintf("engine-%s-%d", p.Regions[region], i), Role: external.RoleEngine, Address: e.Address(),
			Region: p.Regions[region], FailureDomain: p.Regions[region] + "-1", State: external.InstanceLive,
			Models: []string{params.Model},
		})
		c.instances.Set(c.engineInstances[region][i])
	}
	for i := range p.Services[region] {
		s, err := standin.StartService(loopback)
		if err != nil {
			return err
		}
		c.services[region] = append(c.services[region], s)
		c.instances.Set(external.Instance{
			ID: fmt.Sprintf("service-%s-%d", p.Regions[region], i), Role: external.RoleService, Address: s.Address(),
			Region: p.Regions[region], FailureDomain: p.Regions[region] + "-1", State: external.InstanceLive, Service: serviceName,
		})
	}
	for i := range p.Entries[region] {
		if err := c.startNode(plan, policy, region, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startNode(plan Plan, policy string, region, i int) error {
	p := plan.Profile
	var seeds []string
	for _, nodes := range c.nodes {
		for _, n := range nodes {
			seeds = append(seeds, n.PeerAddress)
		}
	}
	s := settings.Settings{
		Instance:  settings.Instance{ID: fmt.Sprintf("entry-%s-%d", p.Regions[region], i), Region: p.Regions[region], FailureDomain: p.Regions[region] + "-1"},
		Listeners: settings.Listeners{Caller: loopback, Peer: loopback, Operator: loopback},
		Platform:  settings.Platform{Store: c.store.URL(), Instances: c.instances.URL() + "/instances", MaxIsolation: maxIsolation},
		Peer:      settings.Peer{Secret: peerSecret, Seeds: seeds},
		Policy: settings.Policy{
			Name: policy, Preset: p.PolicyPreset, LinkMbit: p.RegionBandwidth * plan.Simulation.TimeScale * 8 / 1e6,
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	options := node.DefaultOptions()
	options.DialPeer = c.wan.dialFrom(region)
	options.LoadPollInterval = time.Duration(float64(options.LoadPollInterval) / plan.Simulation.TimeScale)
	n, err := node.StartWithOptions(s, log, options)
	if err != nil {
		return err
	}
	c.nodes[region] = append(c.nodes[region], n)
	c.wan.setRegion(n.PeerAddress, region)
	c.instances.Set(external.Instance{
		ID: s.Instance.ID, Role: external.RoleEntry, Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain,
		Address: n.PeerAddress, State: external.InstanceLive,
	})
	return nil
}

func apiKeyOf(account string) string { return "sk-bench-" + account }

// configure publishes the operators' configuration of the experiment.
func (c *cluster) configure(ctx context.Context, plan Plan) error {
	var changes []opconfig.Change
	var failure error
	set := func(table opconfig.Table, id string, record any) {
		change, err := opconfig.Set(table, id, record)
		if err != nil {
			failure = err
		}
		changes = append(changes, change)
	}
	for i, a := range plan.Profile.Accounts {
		rate, burst := plan.limits(i)
		set(opconfig.TableAccounts, a.Name, opconfig.Account{Name: a.Name, Rate: rate, Burst: burst, HomeRegion: a.HomeRegion})
		hash := opconfig.HashAPIKey(apiKeyOf(a.Name))
		set(opconfig.TableAPIKeys, hash, opconfig.APIKey{Hash: hash, ID: a.Name + "-1", Account: a.Name})
	}
	for i, region := range plan.Profile.Regions {
		domain := region + "-1"
		set(opconfig.TableFailureDomains, domain, opconfig.FailureDomain{Name: domain, Region: region, Slots: plan.Profile.Entries[i]})
	}
	set(opconfig.TableModels, modelName, opconfig.Model{Name: modelName, Version: modelVersion})
	set(opconfig.TableRoutes, routeOrders, opconfig.Route{Prefix: routeOrders, Service: serviceName})
	set(opconfig.TableRoutes, routeStatus, opconfig.Route{Prefix: routeStatus, Service: serviceName})
	if failure != nil {
		return failure
	}
	publisher := &configsync.Publisher{Store: etcdgw.New(c.store.URL())}
	_, err := publisher.Apply(ctx, 0, changes)
	return err
}

// waitReady waits until each entry instance has the configuration, its upstreams and
// all peers.
func (c *cluster) waitReady(ctx context.Context) error {
	for !c.ready() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "entry instances did not become ready")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (c *cluster) ready() bool {
	entries := 0
	for _, nodes := range c.nodes {
		entries += len(nodes)
	}
	for region, nodes := range c.nodes {
		upstreams := len(c.engines[region]) + len(c.services[region])
		for _, n := range nodes {
			s := n.Snapshot()
			if !s.Ready || len(s.Upstreams) != upstreams || len(s.Peers) != entries-1 || !n.SlotsReady() {
				return false
			}
		}
	}
	return true
}

// traffic is the traffic between regions since the start.
type traffic struct {
	forwarded int64
	linkBytes int64
}

func (c *cluster) traffic() traffic {
	return traffic{forwarded: c.forwarded(), linkBytes: c.wan.bytes()}
}

// forwarded returns the number of requests forwarded to another region.
func (c *cluster) forwarded() int64 {
	var sum int64
	for _, nodes := range c.nodes {
		for _, n := range nodes {
			sum += n.ForwardedCount()
		}
	}
	return sum
}

// totals returns the summed counters of all engines.
func (c *cluster) totals() standin.SimulationTotals {
	var sum standin.SimulationTotals
	for _, engines := range c.engines {
		for _, e := range engines {
			t := e.Totals()
			sum.PrefillTokens += t.PrefillTokens
			sum.CachedTokens += t.CachedTokens
			sum.DecodeTokens += t.DecodeTokens
			sum.Busy += t.Busy
		}
	}
	return sum
}

// close stops the entry instances, whose requests have all ended, and then the
// stand-ins. It stops waiting for the instances when ctx ends.
func (c *cluster) close(ctx context.Context) {
	count := 0
	for _, nodes := range c.nodes {
		count += len(nodes)
	}
	done := make(chan struct{}, count)
	for _, nodes := range c.nodes {
		for _, n := range nodes {
			go func() {
				n.Kill()
				done <- struct{}{}
			}()
		}
	}
	for range count {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	for region := range c.engines {
		for _, e := range c.engines[region] {
			e.Stop()
		}
		for _, s := range c.services[region] {
			s.Close()
		}
	}
	c.instances.Close()
	c.store.Close()
}
