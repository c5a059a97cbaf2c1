package probe

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
)

// Without a log line for each check, a paused upstream that never recovers looks the same as
// one that is never checked. Guards against a missing log line, and against an upstream that
// is returned to service because another one responds at its address.
func TestChecksThatFailAreLogged(t *testing.T) {
	for _, c := range []struct {
		name, answered, wantEvent string
		status                    int
	}{
		{"sound", "u-1", "upstream_back", http.StatusOK},
		{"another upstream", "u-2", "health_check_failed", http.StatusOK},
		{"not healthy", "u-1", "health_check_failed", http.StatusServiceUnavailable},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Answered-By", c.answered)
			w.WriteHeader(c.status)
		}))
		var lines bytes.Buffer
		log := logrus.New()
		log.SetOutput(&lines)
		ctx, cancel := context.WithCancel(t.Context())
		loop := control.NewLoop(control.Identity{ID: "i", Region: "r"})
		go loop.Run(ctx)
		p := &Prober{
			Loop:        loop,
			ParseHeader: func(h http.Header) (string, time.Duration) { return h.Get("Answered-By"), 0 },
			Log:         logrus.NewEntry(log),
			client:      server.Client(),
		}
		p.checkUpstream(ctx, "u-1", server.URL)
		cancel()
		server.Close()
		if got := lines.String(); !strings.Contains(got, "event="+c.wantEvent) || !strings.Contains(got, "u-1") {
			t.Errorf("%s: logged %q, want event %s", c.name, got, c.wantEvent)
		}
	}
}
