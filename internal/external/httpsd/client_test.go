package httpsd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"heatherloom/internal/external"
)

// BenchmarkInstances measures one request for a list. The design size is 273 instances in one
// region and 10,920 in total. The list is sent uncompressed, as by a plain server.
func BenchmarkInstances(b *testing.B) {
	for _, n := range []int{273, 2730, 10_920} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) { benchInstances(b, n, "") })
		b.Run(fmt.Sprintf("instances=%d/unchanged", n), func(b *testing.B) { benchInstances(b, n, `"1"`) })
	}
}

func benchInstances(b *testing.B, n int, tag string) {
	var groups []TargetGroup
	for i := range n {
		groups = append(groups, NewTargetGroup(external.Instance{
			ID: fmt.Sprintf("region-01-engine-%05d", i), Role: external.RoleEngine, Region: "region-01",
			FailureDomain: "region-01-domain-02", Address: fmt.Sprint("10.20.30.40:", 10_000+i),
			State: external.InstanceLive, Models: []string{"lantern-large@2026-11"},
		}))
	}
	body, _ := json.Marshal(groups)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		http.ServeContent(w, r, "list.json", time.Time{}, bytes.NewReader(body))
	}))
	defer server.Close()
	client := New(server.URL)
	b.ReportAllocs()
	for b.Loop() {
		if list, err := client.Instances(context.Background()); err != nil || len(list) != n {
			b.Fatal(len(list), err)
		}
	}
	b.ReportMetric(float64(len(body)), "B-list")
}

// Guards against a cached list that is returned after the list changed, and against an unchanged
// list that is transferred again.
func TestUnchangedListIsNotReadAgain(t *testing.T) {
	tag, full := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		_ = json.NewEncoder(w).Encode([]TargetGroup{NewTargetGroup(external.Instance{ID: "i" + tag, Address: "a:1"})})
	}))
	defer server.Close()
	client := New(server.URL)
	for i, want := range []string{`"1"`, `"1"`, `"2"`, `"2"`} {
		tag = want
		list, err := client.Instances(context.Background())
		if err != nil || len(list) != 1 || list[0].ID != "i"+want || full != 1+i/2 {
			t.Fatalf("request %d returned %v, %v after %d full responses", i, list, err, full)
		}
	}
}
