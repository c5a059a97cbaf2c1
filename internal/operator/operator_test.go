package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/drain"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const token = "operator-test-token"

var _ = Describe("the operator listener", func() {
	var deps Deps
	BeforeEach(func() {
		now := time.Now()
		config := opconfig.New()
		config.Revision = 4
		for _, m := range []opconfig.Rollout{{Target: "m", Version: "1"}, {Target: "m", Version: "2"}, {Target: "m", Version: "3"}} {
			config.Rollouts[m.ID()] = m
		}
		snapshot := &routing.Snapshot{
			SelfID: "a", Region: "r", FailureDomain: "r-1", Config: config, ConfigAge: time.Minute, Ready: true,
			ModelSplits: map[string]routing.ModelSplit{"m": {RunningVersion: "1", Candidate: "2", Share: 0.05}},
			Peers:       []routing.Peer{{ID: "b", OperatorURL: "http://b", LastHeard: now}},
			Upstreams:   []routing.Upstream{{ID: "e", Targets: []string{"m@1"}, Down: true, Counters: &routing.Counters{}}},
		}
		deps = Deps{
			Token:    token,
			Snapshot: func() *routing.Snapshot { return snapshot },
			Timeline: timeline.NewRecorder("a", timeline.NewClock(time.Now), 8, 8),
			Drain:    drain.NewController(),
			Metrics:  telemetry.NewMetrics(telemetry.Sources{}).Handler(),
			Now:      func() time.Time { return now },
		}
	})
	call := func(method, path, authorization string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, nil)
		r.Header.Set("Authorization", authorization)
		Handler(deps).ServeHTTP(w, r)
		return w
	}
	protected := [][2]string{{"GET", "/v1/status"}, {"GET", "/v1/events"}, {"GET", "/v1/drain"}, {"POST", "/v1/drain"}, {"GET", "/metrics"}}

	// Guards against operator endpoints that are served without the credential, in
	// particular when the settings have no token.
	It("refuses every service but health and readiness without the token", func() {
		for _, endpoint := range protected {
			for _, authorization := range []string{"", "Bearer ", "Bearer x", "Basic " + token, token} {
				Expect(call(endpoint[0], endpoint[1], authorization).Code).To(Equal(http.StatusUnauthorized), "%v %q", endpoint, authorization)
			}
		}
		Expect(deps.Drain.Progress().Phase).To(Equal(drain.Serving))
		deps.Token = ""
		for _, endpoint := range protected {
			Expect(call(endpoint[0], endpoint[1], "Bearer ").Code).To(Equal(http.StatusForbidden), "%v", endpoint)
		}
		Expect(call("GET", "/healthz", "").Code).To(Equal(http.StatusOK))
		Expect(call("GET", "/readyz", "").Code).To(Equal(http.StatusOK))
	})

	// Guards against field names other than those that `sheet status` reads.
	It("answers the status with the agreed field names", func() {
		w := call("GET", "/v1/status", "Bearer "+token)
		Expect(w.Body.String()).To(MatchJSON(`{"instance":"a","region":"r","failure_domain":"r-1","ready":true,"draining":false,
			"config_revision":4,"config_age_seconds":60,"in_flight":0,
			"rollouts":[{"target":"m","version":"1","state":"done","step":0,"reason":""},
				{"target":"m","version":"2","state":"share","step":5,"reason":""},
				{"target":"m","version":"3","state":"planned","step":0,"reason":""}],
			"peers":[{"id":"b","region":"","operator_url":"http://b","config_revision":0,"draining":false,"last_heard_seconds":0}],
			"upstreams":[{"id":"e","targets":["m@1"],"leaving":false,"down":true,"in_flight":0}]}`))
	})

	// Guards against load balancers that still send callers to an instance about to stop.
	It("is not ready once a drain was asked for, and shows what is left", func() {
		Expect(deps.Drain.Acquire(drain.Demand{})).To(BeNil())
		Expect(call("POST", "/v1/drain", "Bearer "+token).Code).To(Equal(http.StatusAccepted))
		ready := call("GET", "/readyz", "")
		Expect(ready.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(ready.Body.String()).To(ContainSubstring("draining"))
		var progress operatorapi.DrainStatus
		Expect(json.Unmarshal(call("GET", "/v1/drain", "Bearer "+token).Body.Bytes(), &progress)).To(Succeed())
		Expect(progress).To(Equal(operatorapi.DrainStatus{Instance: "a", Phase: "announced", Reason: "operator", InFlight: 1}))
	})

	// Guards against a since parameter that is ignored or breaks the response.
	It("answers the events above a clock reading", func() {
		deps.Timeline.Record(timeline.Event{Kind: timeline.KindConfigInForce})
		first := deps.Timeline.Since(0)[0].Clock
		deps.Timeline.Record(timeline.Event{Kind: timeline.KindDrain})
		var events operatorapi.Events
		Expect(json.Unmarshal(call("GET", "/v1/events?since="+first.String(), "Bearer "+token).Body.Bytes(), &events)).To(Succeed())
		Expect(events.Events).To(HaveLen(1))
		Expect(events.Events[0].Kind).To(Equal(timeline.KindDrain))
		Expect(call("GET", "/v1/events?since=x", "Bearer "+token).Code).To(Equal(http.StatusBadRequest))
	})
})
