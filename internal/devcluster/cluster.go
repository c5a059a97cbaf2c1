// Package devcluster runs stand-ins and entry instances of three regions in one
// process on free loopback ports, sends them requests and checks the responses.
package devcluster

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/node"
	"heatherloom/internal/routing"
	"heatherloom/internal/settings"
	"heatherloom/internal/standin"
)

const (
	freeAddress      = "127.0.0.1:0"
	peerSecret       = "development-cluster"
	entriesPerRegion = 2
	enginesPerRegion = 2
	// tokenInterval makes a response of 16 tokens take about 80 ms.
	tokenInterval   = 5 * time.Millisecond
	shutdownTimeout = 5 * time.Second
)

// EntryInstance is a running entry instance.
type EntryInstance struct {
	ID     string
	Region string
	// URL is the base URL of the caller listener.
	URL string
	// OperatorURL is the base URL of the operator listener.
	OperatorURL string
}

// OperatorToken is the bearer token of the operator listeners.
const OperatorToken = "development-operator"

// Cluster is a running development cluster.
type Cluster struct {
	Config       Config
	Store        *standin.Store
	InstanceList *standin.InstanceList
	Engines      []*standin.Engine
	// Services holds the status services of all regions and the ledger.
	Services []*standin.Service
	Ledger   *standin.Service
	Entries  []EntryInstance

	nodes []*node.Node
	peers []string
	log   *logrus.Logger
}

// Start starts a cluster with the default configuration. It logs to log, or discards log
// lines if log is nil. The cluster serves requests once WaitReady returns.
func Start(ctx context.Context, log *logrus.Logger) (*Cluster, error) {
	if log == nil {
		log = logrus.New()
		log.SetOutput(io.Discard)
	}
	config, err := DefaultConfig()
	if err != nil {
		return nil, err
	}
	c := &Cluster{Config: config, log: log}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	for _, region := range c.Config.Regions {
		if err := c.startUpstreams(region); err != nil {
			return err
		}
	}
	for _, region := range c.Config.Regions {
		if err := c.startEntries(region); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform starts the store with the configuration and the instance list.
func (c *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.Store, err = standin.StartStore(freeAddress); err != nil {
		return err
	}
	if c.InstanceList, err = standin.StartInstanceList(freeAddress); err != nil {
		return err
	}
	changes, err := c.Config.Changes()
	if err != nil {
		return err
	}
	publisher := &configsync.Publisher{Store: etcdgw.New(c.Store.URL())}
	if _, err := publisher.Apply(ctx, 0, changes); err != nil {
		return eris.Wrap(err, "apply the default configuration")
	}
	return nil
}

func (c *Cluster) startUpstreams(region string) error {
	for i := range enginesPerRegion {
		if err := c.startEngine(region, i); err != nil {
			return err
		}
	}
	if _, err := c.startService(region, "status"); err != nil {
		return err
	}
	if region != c.Config.Regions[0] {
		return nil
	}
	ledger, err := c.startService(region, "ledger")
	c.Ledger = ledger
	return err
}

// startEngine starts an engine that serves every model.
func (c *Cluster) startEngine(region string, index int) error {
	engine, err := standin.StartEngine(freeAddress, tokenInterval)
	if err != nil {
		return err
	}
	c.Engines = append(c.Engines, engine)
	var models []string
	for _, m := range c.Config.Models {
		models = append(models, m.Name+"@"+m.Version)
	}
	c.addInstance(region, external.Instance{
		ID: instanceID(region, "engine", index), Role: external.RoleEngine, Address: engine.Address(), Models: models,
	})
	return nil
}

func (c *Cluster) startService(region, name string) (*standin.Service, error) {
	service, err := standin.StartService(freeAddress)
	if err != nil {
		return nil, err
	}
	c.Services = append(c.Services, service)
	c.addInstance(region, external.Instance{
		ID: instanceID(region, name, 0), Role: external.RoleService, Address: service.Address(), Service: name,
	})
	return service, nil
}

func (c *Cluster) startEntries(region string) error {
	for i := range entriesPerRegion {
		id := instanceID(region, "entry", i)
		n, err := node.Start(c.settings(id, region), c.log)
		if err != nil {
			return eris.Wrapf(err, "start entry instance %q", id)
		}
		c.nodes = append(c.nodes, n)
		c.peers = append(c.peers, n.PeerAddress)
		c.Entries = append(c.Entries, newEntryInstance(id, region, n))
		c.addInstance(region, external.Instance{ID: id, Role: external.RoleEntry, Address: n.PeerAddress})
	}
	return nil
}

func newEntryInstance(id, region string, n *node.Node) EntryInstance {
	return EntryInstance{ID: id, Region: region, URL: "http://" + n.CallerAddress, OperatorURL: "http://" + n.OperatorAddress}
}

func (c *Cluster) settings(id, region string) settings.Settings {
	return settings.Settings{
		Instance:  settings.Instance{ID: id, Region: region, FailureDomain: failureDomain(region)},
		Listeners: settings.Listeners{Caller: freeAddress, Peer: freeAddress, Operator: freeAddress},
		Platform:  settings.Platform{Store: c.Store.URL(), Instances: c.InstanceList.URL() + "/instances"},
		Operator:  settings.Operator{Token: OperatorToken},
		Policy:    settings.Policy{Name: routing.NameDefault},
		Peer:      settings.Peer{Secret: peerSecret, Seeds: append([]string(nil), c.peers...)},
	}
}

// addInstance adds a live instance of the region to the instance list.
func (c *Cluster) addInstance(region string, i external.Instance) {
	i.Region = region
	i.FailureDomain = failureDomain(region)
	i.State = external.InstanceLive
	c.InstanceList.Set(i)
}

func failureDomain(region string) string { return region + "-1" }

func instanceID(region, kind string, index int) string {
	return region + "-" + kind + "-" + string(rune('1'+index))
}

// Close shuts down the entry instances gracefully, then stops the stand-ins.
func (c *Cluster) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		wg.Go(func() {
			if err := n.Shutdown(ctx); err != nil {
				c.log.WithField("event", "shutdown").WithError(err).Warn("entry instance did not stop in time")
			}
		})
	}
	wg.Wait()
	for _, engine := range c.Engines {
		engine.Close()
	}
	for _, service := range c.Services {
		service.Close()
	}
	if c.InstanceList != nil {
		c.InstanceList.Close()
	}
	if c.Store != nil {
		c.Store.Close()
	}
}
