package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/settings"
	platformstandin "heatherloom/platform/standin"
)

const (
	hostFleetAccounts  = 40
	hostFleetUpstreams = 120
	hostFleetSlots     = 64
)

// BenchmarkHostFleet runs idle instances that serve host routes and form one failure domain in one process
// for a fixed time, regardless of b.N, and reports the processor time, the bytes sent to peers and the store
// calls of each. All client accounts have demand at each instance. Run it with -benchtime 1x.
func BenchmarkHostFleet(b *testing.B) {
	for _, members := range []int{8, 50} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchHostFleet(b, members) })
	}
}

func benchHostFleet(b *testing.B, members int) {
	store := must(platformstandin.StartStore())(b)
	defer store.Close()
	config := platformstandin.Config{Version: 1, Services: []string{"s", "none"}, Routes: []platformstandin.Route{
		{Prefix: "/", Kind: platformstandin.KindSafe, Service: "none", Attempts: 1, Timeout: time.Second},
	}}
	for i := range hostFleetAccounts {
		name := fmt.Sprint("account-", i)
		config.Accounts = append(config.Accounts, platformstandin.Account{Name: name, Keys: []string{name}, Rate: 100, Burst: 100})
	}
	store.PutConfig(config)
	for i := range hostFleetUpstreams {
		store.PutServer(platformstandin.ServerConfig{ID: fmt.Sprint("u", i), Service: "s", FailureDomain: "a1", MaxConcurrency: hostFleetSlots}, "127.0.0.1:1", false)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var bytes, conns atomic.Int64
	var nodes []*Node
	for i := range members {
		s := settings.Settings{
			Instance: settings.Instance{ID: fmt.Sprintf("region-01-domain-01-entry-%02d", i), Region: "a", FailureDomain: "a1"},
			Listeners: settings.Listeners{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0",
				Entries: "127.0.0.1:0", Ready: "127.0.0.1:0"},
			Platform: settings.Platform{Protocol: settings.ProtocolMetadata, Store: store.URL(),
				Domains: map[string]string{"a1": "a"}, MaxIsolation: 5 * time.Second, StrictIsolation: true},
			Peer:    settings.Peer{Secret: "0123456789abcdef0123456789abcdef"},
			Bounds:  settings.Bounds{RetryShare: 0.2, RetrySlack: 56, CanaryShare: 0.1, ColdExcess: 1.5, ColdSlack: 3},
			Process: settings.Process{MemoryMB: 184 * float64(members)},
		}
		l := must(openListeners(s.Listeners))(b)
		l.peer = countingListener{l.peer, &bytes, &conns}
		nodes = append(nodes, must(startOn(l, s, log, DefaultOptions()))(b))
	}
	defer func() {
		for _, n := range nodes {
			n.Kill()
		}
	}()
	time.Sleep(fleetWarmup)
	createDemand(b, nodes, config)
	before, started := processorTime(), time.Now()
	bytes.Store(0)
	time.Sleep(fleetMeasureTime)
	instances, seconds := float64(members), time.Since(started).Seconds()
	b.ReportMetric(100*(processorTime()-before).Seconds()/instances/seconds, "%cpu")
	b.ReportMetric(float64(bytes.Load())/instances/seconds, "peer-B/s")
	b.ReportMetric(float64(len(nodes[0].loop.Snapshot().Peers)), "peers")
}

// createDemand sends a request of each account to each instance. None of them reaches an upstream.
func createDemand(b *testing.B, nodes []*Node, config platformstandin.Config) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	for _, n := range nodes {
		calls.Go(func() {
			for i, a := range config.Accounts {
				platformstandin.Send(ctx, client, n.CallerAddress, platformstandin.Call{ID: fmt.Sprint(n.id, i), Key: a.Keys[0], Method: http.MethodGet, Path: "/"})
			}
		})
	}
	calls.Wait()
	known := func() int { return len(nodes[0].loop.Snapshot().PeerDemand) }
	for known() < hostFleetAccounts && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
	if known() != hostFleetAccounts {
		b.Fatalf("demand of %d accounts is known, want %d", known(), hostFleetAccounts)
	}
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
