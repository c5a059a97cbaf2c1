//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

func init() { cases["twice"] = twice }

const (
	// longEvents are the events of a stream, at longInterval, and regionCut the length of the cut.
	longEvents   = 64
	longInterval = 150 * time.Millisecond
	regionCut    = 6 * time.Second
	// stillWorks is the time of the rule.
	stillWorks = 400 * time.Millisecond
)

// run is one run of a request at a server.
type run struct {
	server, request string
	after           int
	from, to        time.Time
	whole           bool
}

// streamServer is a model server that answers with numbered events and drops a request when its connection closes.
type streamServer struct {
	id, domain, address string
	mu                  sync.Mutex
	runs                []*run
}

func startStreamServer(id, domain string) *streamServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &streamServer{id: id, domain: domain, address: l.Addr().String()}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.HealthPath {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	this := &run{server: s.id, request: id, after: after, from: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, this)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		this.to = time.Now()
		s.mu.Unlock()
		rec.add("%s: the run of %s after event %d ends, whole %t", s.id, id, after, this.whole)
	}()
	rec.add("%s runs %s after event %d", s.id, id, after)
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= longEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(longInterval):
		}
		if _, err := w.Write(standin.StreamEvent(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	this.whole = true
}

// twice cuts off a region that has forwarded streams to another region, in which the store stands.
func twice(program string, trouble bool) bool {
	c := newCluster(program, "a", "b")
	cleanup = c.close
	c.store.PutConfig(standin.Config{
		Version: 1, Services: []string{"llm"},
		Routes:   []standin.Route{{Prefix: "/g/", Kind: standin.KindStream, Service: "llm", Attempts: 2, Timeout: 15 * time.Second, LatencyObjective: 1200 * time.Millisecond, Resumable: true}},
		Accounts: []standin.Account{{Name: "t", Keys: []string{"key"}}},
	})
	var servers []*streamServer
	for _, region := range []string{"a", "b", "b", "b"} {
		s := startStreamServer(fmt.Sprintf("i-%s%d", region, len(servers)), region+"-1")
		c.store.PutServer(standin.ServerConfig{ID: s.id, Service: "llm", FailureDomain: s.domain, MaxConcurrency: 64, CachesPrompts: true, StartedAt: time.Now()}, s.address, false)
		servers = append(servers, s)
	}
	for _, region := range []string{"a", "b"} {
		i := c.add(region, 284)
		i.peerLink.SetFaults(faultproxy.Latency(55 * time.Millisecond))
	}
	c.startAll()
	const streams = 12
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() {
			id := fmt.Sprint("s", n)
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.instances[0].caller+"/g/1", strings.NewReader("x"))
			must(err)
			req.Host = standin.Host
			req.Header = http.Header{"Request-Id": {id}, "Key": {"key"}, "Deadline-Ms": {"15000"},
				"Token-Count": {"6000,400"}, "Prompt-Prefix": {fmt.Sprintf("%x:6000", 0x100+n)}}
			rec.add("%s sent to %s", id, c.instances[0].id)
			resp, err := (&http.Client{}).Do(req)
			if err != nil {
				rec.add("%s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			events, gap, last := 0, time.Duration(0), time.Now()
			lines := bufio.NewScanner(resp.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "id: ") {
					events++
					gap, last = max(gap, time.Since(last)), time.Now()
				}
			}
			rec.add("%s: status %d, %d of %d events, longest pause %.2f s, %v", id, resp.StatusCode, events, longEvents, gap.Seconds(), lines.Err())
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		// Nothing passes between region a and region b with the store, in either direction, without a reset.
		a, b := c.instances[0], c.instances[1]
		rec.add("region a is cut off")
		a.peerLink.SetFaults(faultproxy.BlackHole())
		b.peerLink.SetFaults(faultproxy.BlackHole())
		a.storeLink.SetFaults(faultproxy.BlackHole())
		time.AfterFunc(regionCut, func() {
			rec.add("the cut heals")
			a.peerLink.SetFaults(faultproxy.Latency(55 * time.Millisecond))
			b.peerLink.SetFaults(faultproxy.Latency(55 * time.Millisecond))
			a.storeLink.SetFaults(faultproxy.Faults{})
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	broken := 0
	var longest time.Duration
	runs := map[string][]*run{}
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs[r.request] = append(runs[r.request], r)
		}
		s.mu.Unlock()
	}
	for id, list := range runs {
		for _, before := range list {
			for _, next := range list {
				if next.from.After(before.from) && before.to.After(next.from.Add(stillWorks)) {
					broken++
					longest = max(longest, before.to.Sub(next.from))
					rec.add("%s goes on at %s while %s works on it for %.2f s more", id, next.server, before.server, before.to.Sub(next.from).Seconds())
				}
			}
		}
	}
	say("%d streams; %d went on at another server while the one before still worked on them %s later, for %.2f s at most", streams, broken, stillWorks, longest.Seconds())
	return broken == 0
}
