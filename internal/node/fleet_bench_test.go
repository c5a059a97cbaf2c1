package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/settings"
	"heatherloom/internal/standin"
)

const (
	fleetWarmup      = 6 * time.Second
	fleetMeasureTime = 10 * time.Second
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes, conns *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.conns.Add(1)
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type fleetUsage struct {
	bytes, heap int64
	calls       map[string]int64
	cpu         time.Duration
}

func measureUsage(bytes *atomic.Int64, store *standin.Store) fleetUsage {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return fleetUsage{bytes.Load(), int64(mem.HeapAlloc), store.Calls(), time.Duration(r.Utime.Nano() + r.Stime.Nano())}
}

// BenchmarkFleet runs idle entry instances with stand-ins in one process for a fixed time,
// regardless of b.N, and reports the resource usage per instance. peer-B/s is the traffic
// an instance sends to its peers, including HTTP/2 framing but not TCP. The CPU time
// includes the stand-ins. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ domains, members, upstreams int }{
		{4, 1, 0}, {4, 3, 0}, {4, 5, 0}, {4, 7, 0}, {8, 3, 0}, {12, 3, 0}, {40, 1, 0}, {4, 3, 4}, {4, 3, 8},
	} {
		b.Run(fmt.Sprintf("domains=%d/members=%d/upstreams=%d", size.domains, size.members, size.upstreams), func(b *testing.B) {
			benchFleet(b, size.domains, size.members, size.upstreams)
		})
	}
}

func benchFleet(b *testing.B, domains, members, upstreams int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store, list := must(standin.StartStore("127.0.0.1:0"))(b), must(standin.StartInstanceList("127.0.0.1:0"))(b)
	defer store.Close()
	defer list.Close()
	change := must(opconfig.Set(opconfig.TableModels, "m", opconfig.Model{Name: "m", Version: "1"}))(b)
	must((&configsync.Publisher{Store: etcdgw.New(store.URL())}).Apply(ctx, 0, []opconfig.Change{change}))(b)
	for i := range upstreams {
		engine := must(standin.StartEngine("127.0.0.1:0", time.Millisecond))(b)
		defer engine.Close()
		list.Set(external.Instance{ID: fmt.Sprint("engine-", i), Role: external.RoleEngine, Region: "region-01", Address: engine.Address()})
	}
	baselineHeap := measureUsage(new(atomic.Int64), store).heap
	log := logrus.New()
	log.SetOutput(io.Discard)
	var bytes, conns atomic.Int64
	var nodes []*Node
	for i := range domains * members {
		id, domain := fmt.Sprintf("region-01-domain-%02d-entry-%02d", i%domains, i/domains), fmt.Sprintf("region-01-domain-%02d", i%domains)
		s := settings.Settings{
			Instance:  settings.Instance{ID: id, Region: "region-01", FailureDomain: domain},
			Listeners: settings.Listeners{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"},
			Platform:  settings.Platform{Store: store.URL(), Instances: list.URL() + "/instances"},
			Peer:      settings.Peer{Secret: "0123456789abcdef0123456789abcdef"},
		}
		l := must(openListeners(s.Listeners))(b)
		l.peer = countingListener{l.peer, &bytes, &conns}
		n := must(startOn(l, s, log, DefaultOptions()))(b)
		list.Set(external.Instance{ID: id, Role: external.RoleEntry, Region: "region-01", FailureDomain: domain, Address: n.PeerAddress, State: external.InstanceLive})
		nodes = append(nodes, n)
	}
	time.Sleep(fleetWarmup)
	before := measureUsage(&bytes, store)
	time.Sleep(fleetMeasureTime)
	after := measureUsage(&bytes, store)
	instances, seconds := float64(len(nodes)), fleetMeasureTime.Seconds()
	b.ReportMetric(float64(after.bytes-before.bytes)/instances/seconds, "peer-B/s")
	b.ReportMetric(float64(conns.Load())/instances, "conns")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/instances/seconds, "%cpu")
	b.ReportMetric(float64(after.heap-baselineHeap)/instances/(1<<20), "MB-heap")
	for path, n := range after.calls {
		if d := n - before.calls[path]; d > 0 {
			b.ReportMetric(float64(d)/float64(domains)/seconds, path+"/s/domain")
		}
	}
	b.ReportMetric(float64(len(nodes[0].loop.Snapshot().Peers)), "peers")
	var shutdowns sync.WaitGroup
	for _, n := range nodes {
		shutdowns.Go(func() {
			shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancelShutdown()
			_ = n.Shutdown(shutdownCtx)
		})
	}
	shutdowns.Wait()
}

func must[T any](v T, err error) func(*testing.B) T {
	return func(b *testing.B) T {
		b.Helper()
		if err != nil {
			b.Fatal(err)
		}
		return v
	}
}
