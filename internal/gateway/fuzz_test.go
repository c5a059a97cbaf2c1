package gateway

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"heatherloom/internal/errkind"
)

// Guards against a body that makes the parser panic, or that the parser accepts although
// an engine would decode another model or reject the JSON.
func FuzzParseInference(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[]}`, `{"model":"m","stream":null,"messages":[1]}`, `{"Model":"m"}`,
		`[]`, `null`, `"x"`, `{"model":{}}`, `{"model":"\ud800","messages":[`, "\xff", `{"model":"m","messages":[]} x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := parseInference(raw, "messages")
		if err != nil {
			if err.Kind != errkind.MalformedRequest || err.Execution != errkind.NotExecuted || err.Message == "" {
				t.Fatalf("unexpected error %+v", err)
			}
			return
		}
		var fields map[string]any
		if json.Unmarshal(raw, &fields) != nil || fields["model"] != body.Model || body.Model == "" {
			t.Fatalf("accepted %q as model %q", raw, body.Model)
		}
		if stream, ok := fields["stream"].(bool); ok && stream != body.Stream {
			t.Fatalf("accepted %q as stream %v", raw, body.Stream)
		}
	})
}

// Guards against a header that makes the parser panic, or results in a deadline that has
// passed or exceeds the limit.
func FuzzDeadline(f *testing.F) {
	for _, seed := range [][2]string{
		{"1", ""}, {"NaN", ""}, {"-Inf", ""}, {"1e-300", ""}, {"600", "2026-01-01T00:05:00Z"}, {"0x1p-2", "2026-01-01T00:00:00.5+00:00"}, {"", "9999-12-31T23:59:59Z"},
	} {
		f.Add(seed[0], seed[1])
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, timeout, deadline string) {
		header := http.Header{}
		if timeout != "" {
			header.Set(headerTimeout, timeout)
		}
		if deadline != "" {
			header.Set(headerDeadline, deadline)
		}
		got, err := requestDeadline(header, now)
		if err != nil {
			if err.Kind != errkind.MalformedRequest && err.Kind != errkind.DeadlinePassed {
				t.Fatalf("unexpected error %+v", err)
			}
			return
		}
		if !got.After(now) || got.After(now.Add(maxTimeout)) {
			t.Fatalf("deadline %s for %q and %q", got, timeout, deadline)
		}
	})
}
