package httpsd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"heatherloom/internal/platform"
)

// BenchmarkInstances measures one reading of a list: 273 instances are one region of the
// design size, 10,920 are all. The list comes uncompressed, as from a plain server.
func BenchmarkInstances(b *testing.B) {
	for _, n := range []int{273, 2730, 10_920} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			var groups []TargetGroup
			for i := range n {
				groups = append(groups, GroupOf(platform.Instance{
					ID: fmt.Sprintf("region-01-engine-%05d", i), Role: platform.RoleEngine, Region: "region-01",
					FailureDomain: "region-01-domain-02", Address: fmt.Sprint("10.20.30.40:", 10_000+i),
					State: platform.InstanceLive, Models: []string{"lantern-large@2026-11"},
				}))
			}
			body, _ := json.Marshal(groups)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			client := New(server.URL)
			b.ReportAllocs()
			for b.Loop() {
				if list, err := client.Instances(context.Background()); err != nil || len(list) != n {
					b.Fatal(len(list), err)
				}
			}
			b.ReportMetric(float64(len(body)), "B-list")
		})
	}
}
