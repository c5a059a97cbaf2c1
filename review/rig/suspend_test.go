//go:build review

package main

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
	_ "unsafe" // for go:linkname

	"github.com/sirupsen/logrus"

	_ "heatherloom/internal/clock"
	"heatherloom/internal/node"
	"heatherloom/internal/settings"
	"heatherloom/platform/standin"
)

// clockStart is the reading of CLOCK_BOOTTIME at the start of the process. Setting it back by a time has the same effect
// as a suspension of that length: CLOCK_BOOTTIME counts it, the steady clock doesn't.
//
//go:linkname clockStart heatherloom/internal/clock.startUptime
var clockStart time.Duration

// Not a case of the review, as no ordinary means suspends a machine: it shows that an instance answers no request any more
// after its machine was suspended for longer than the request may take.
func TestAnInstanceServesAfterASuspension(t *testing.T) {
	store, err := standin.StartStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.PutConfig(standin.Config{
		Version:  3,
		Routes:   []standin.Route{{Prefix: "/r/", Kind: standin.KindSafe, Service: "s", Attempts: 2, Timeout: time.Second}},
		Services: []string{"s"},
		Accounts: []standin.Account{{Name: "t1", Keys: []string{"key-1"}}},
	})
	server, err := standin.StartServer(standin.ServerConfig{ID: "i-1", Service: "s", FailureDomain: "a", MaxConcurrency: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	store.PutServer(server.Config, server.Address(), false)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := node.Start(settings.Settings{
		Instance:  settings.Instance{ID: "e", Region: "a", FailureDomain: "a"},
		Listeners: settings.Listeners{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0", Entries: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Platform: settings.Platform{
			Protocol: settings.ProtocolMetadata, Store: store.URL(), Domains: map[string]string{"a": "a"}, MaxIsolation: 5 * time.Second, StrictIsolation: true,
		},
		Peer:   settings.Peer{Secret: "0123456789abcdef"},
		Bounds: settings.Bounds{RetryShare: 0.2, RetrySlack: 56, CanaryShare: 0.1, ColdExcess: 1.5, ColdSlack: 3},
	}, log)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Kill()
	time.Sleep(3 * time.Second)
	send := func(id string) int {
		r := standin.Send(context.Background(), http.DefaultClient, n.CallerAddress, standin.Call{
			ID: id, Method: http.MethodGet, Path: "/r/" + id, Key: "key-1", Timeout: 2 * time.Second,
		})
		return r.Status
	}
	if status := send("before"); status != http.StatusOK {
		t.Fatalf("before the suspension: status %d", status)
	}
	const suspension = 2 * time.Second
	clockStart -= suspension
	// A machine is in touch again 5 s after a freeze.
	time.Sleep(8 * time.Second)
	for i := range 5 {
		if status := send("after" + string(rune('0'+i))); status != http.StatusOK {
			t.Errorf("8 s after a suspension of %s: status %d", suspension, status)
		}
	}
}
