//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

func init() { cases["idle"] = idle }

const (
	// maxFds are the descriptors of an entry instance of the small sites, and idleTimeout their idleTimeoutMs.
	maxFds      = 4100
	idleTimeout = 15 * time.Second
	// usersPerSecond is how many users come a second: the peak of the sheet at one of three machines of a region. Each
	// opens a connection to the directory and one for its request.
	usersPerSecond = 35
	usersFor       = 75 * time.Second
	// newConnectionTime is contactMs.
	newConnectionTime = 5 * time.Second
	// abandonAfter is how long a client waits for its request to be read.
	abandonAfter = time.Second
)

// idle has users come at a steady rate, each with a connection of its own. Those within the limit close it after four
// fifths of the idle timeout; the others leave it open.
func idle(program string, trouble bool) bool {
	c := newCluster(program, "a")
	cleanup = c.close
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": prefix, "host": standin.Host, "pathPrefix": prefix, "routeType": kind, "service": "app", "attempts": 2,
			"timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "public": false,
		}
	}
	putJSON(c.store, "op/config", map[string]any{
		"version": 1, "routes": []any{route("/r/", "safe")},
		"services": []any{map[string]any{"name": "app", "healthPath": standin.HealthPath, "maxConns": 370, "warmupS": 0, "warmupPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"key"}, "ratePerS": 0, "burst": 0}},
	})
	var servers []*standin.UpstreamServer
	for k := range 2 {
		s, err := standin.StartServer(standin.ServerConfig{ID: fmt.Sprint("i-", k), Service: "app", FailureDomain: "a-1", MaxConcurrency: 64})
		must(err)
		s.SetFaults(standin.ServerFaults{Delay: 15 * time.Millisecond})
		c.store.PutServer(s.Config, s.Address(), false)
		servers = append(servers, s)
	}
	i := c.add("a", 284)
	i.maxFds = maxFds
	c.startAll()

	// The platform's readiness check has a connection of its own.
	var mu sync.Mutex
	notReady := []time.Time{}
	readiness := &http.Client{Timeout: time.Second}
	stop := make(chan struct{})
	go func() {
		for {
			status := 0
			if resp, err := readiness.Get("http://" + i.ready + "/v1/readyz"); err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
			rec.add("readiness check: %d", status)
			if status != http.StatusOK {
				mu.Lock()
				notReady = append(notReady, time.Now())
				mu.Unlock()
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()

	type try struct {
		at     time.Time
		status int
	}
	var tries []try
	var wg sync.WaitGroup
	open := 0
	// keep leaves a connection open and idle: within the limit, or until the other side closes it.
	keep := func(conn net.Conn) {
		mu.Lock()
		open++
		mu.Unlock()
		end := func() {
			mu.Lock()
			open--
			mu.Unlock()
			_ = conn.Close()
		}
		if !trouble {
			time.AfterFunc(idleTimeout*4/5, end)
			return
		}
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			end()
		}()
	}
	user := func(n int) {
		directory, err := net.DialTimeout("tcp", i.directory, time.Second)
		if err == nil {
			_ = directory.SetDeadline(time.Now().Add(abandonAfter))
			_, _ = fmt.Fprintf(directory, "GET /v1/resolve?name=%s&region=a&zone=a-1 HTTP/1.1\r\nHost: d\r\n\r\n", standin.Host)
			if resp, err := http.ReadResponse(bufio.NewReader(directory), nil); err == nil {
				_ = resp.Body.Close()
				_ = directory.SetDeadline(time.Time{})
				keep(directory)
			} else {
				// Clients keep an older answer of the directory if they get no new one.
				_ = directory.Close()
			}
		}
		at := time.Now()
		status := 0
		conn, err := net.DialTimeout("tcp", i.caller, time.Second)
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(abandonAfter))
			_, _ = fmt.Fprintf(conn, "GET /r/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: u%d\r\nKey: key\r\nDeadline-Ms: 2000\r\n\r\n", standin.Host, n)
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
		}
		rec.add("user %d came at %.3f: status %d, %v", n, at.Sub(rec.began).Seconds(), status, err)
		mu.Lock()
		tries = append(tries, try{at, status})
		mu.Unlock()
		if conn == nil {
			return
		}
		if status == 0 {
			_ = conn.Close()
			return
		}
		_ = conn.SetDeadline(time.Time{})
		keep(conn)
	}
	began := time.Now()
	for n := 0; time.Since(began) < usersFor; n++ {
		wg.Go(func() { user(n) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / usersPerSecond)))
	}
	wg.Wait()
	close(stop)
	if !i.running() {
		say("the process ended by itself")
	}
	recordRuns(servers)
	// The longest time in which no new connection was served.
	var from time.Time
	longest, tried := time.Duration(0), 0
	var spell time.Time
	count := 0
	for _, t := range tries {
		if t.status != 0 {
			spell, count = time.Time{}, 0
			continue
		}
		if spell.IsZero() {
			spell = t.at
		}
		count++
		if d := t.at.Sub(spell); d > longest {
			longest, tried, from = d, count, spell
		}
	}
	unready := 0
	for _, at := range notReady {
		if at.After(from) && at.Before(from.Add(longest)) {
			unready++
		}
	}
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid))
	say("%d users in %s; %d connections are open and %d descriptors are in use; for %.1f s, from %.1f s on, none of %d new connections was served, while %d readiness checks were not answered with 200",
		len(tries), usersFor, open, len(descriptors), longest.Seconds(), from.Sub(began).Seconds(), tried, unready)
	return longest < newConnectionTime || tried < 7 || unready > 0
}
