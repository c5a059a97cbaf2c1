package gateway

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// Guards against accepting keys based on a stale configuration, or for a client account
// that the client directory marks as inactive. GET /v1/entries must work in both cases.
func TestKeysOfStaleConfigurationsAndInactiveAccounts(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hash := opconfig.HashAPIKey("secret")
	config := &opconfig.Config{
		Accounts: opconfig.NewRecords(map[string]opconfig.Account{"guild": {Name: "guild"}}),
		APIKeys:  opconfig.NewRecords(map[string]opconfig.APIKey{hash: {Hash: hash, ID: "k", Account: "guild"}}),
	}
	fresh := routing.Snapshot{Config: config, Ready: true, Peers: []routing.Peer{{ID: "b", Region: "b"}}}
	stale, inactive := fresh, fresh
	stale.ConfigValidUntil = time.Now().Add(-time.Second)
	inactive.InactiveAccounts = map[string]struct{}{"guild": {}}
	inactive.ConfigValidUntil = time.Now().Add(time.Hour)
	for want, snapshot := range map[string]*routing.Snapshot{`"list"`: &fresh, "config_stale": &stale, "key_withdrawn": &inactive} {
		handler, err := New(Deps{Snapshot: func() *routing.Snapshot { return snapshot }, Log: logrus.NewEntry(log), Now: time.Now})
		if err != nil {
			t.Fatal(err)
		}
		for path, want := range map[string]string{"/v1/models": want, "/v1/entries": `"b"`} {
			r, w := httptest.NewRequest("GET", path, nil), httptest.NewRecorder()
			r.Header.Set("Authorization", "Bearer secret")
			if handler.ServeHTTP(w, r); !strings.Contains(w.Body.String(), want) {
				t.Errorf("%s: got response %s, want %s", path, w.Body, want)
			}
		}
	}
}
