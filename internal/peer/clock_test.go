package peer

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// recorderWith returns a recorder whose wall clock is off by skew.
func recorderWith(id string, skew time.Duration) *timeline.Recorder {
	return timeline.NewRecorder(id, timeline.NewClock(func() time.Time { return time.Now().Add(skew) }), 16, 16)
}

var _ = Describe("the clock between instances", func() {
	// Guards against a merged timeline that shows the effect of a forwarded request or a
	// heartbeat before its cause, in either direction, when wall clocks differ.
	DescribeTable("travels on heartbeats and forwards", func(skew time.Duration) {
		near, far := recorderWith("near", 0), recorderWith("far", skew)
		loop := control.NewLoop(control.Identity{ID: "far", Region: "r"})
		server := &Server{Identity: control.Identity{ID: "far"}, Loop: loop, Secret: "s", Timeline: far,
			Dispatcher: &dispatch.Dispatcher{Snapshot: loop.Snapshot, Timeline: far}}
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listening := &http.Server{Handler: server.Handler(), Protocols: protocols}
		go func() { _ = listening.Serve(listener) }()
		DeferCleanup(listening.Close)
		client := NewClient("near", "s")
		client.SetClock(near.Clock())
		address := listener.Addr().String()

		near.Record(timeline.Event{Request: "1", Kind: timeline.KindForwarded})
		result := client.Forward(GinkgoT().Context(), routing.Peer{PeerAddress: address}, &dispatch.Request{ID: "1", Deadline: time.Now().Add(time.Minute)}, nil)
		Expect(result.Err.Kind).To(Equal(errkind.NoUpstream))
		near.Record(timeline.Event{Request: "1", Kind: timeline.KindRequestRefused})
		var kinds []timeline.Kind
		for _, e := range timeline.Merge(near.Since(0), far.Since(0)) {
			kinds = append(kinds, e.Kind)
		}
		Expect(kinds).To(Equal([]timeline.Kind{timeline.KindForwarded, timeline.KindForwardReceived, timeline.KindForwardEnded, timeline.KindRequestRefused}))

		before := near.Clock().Now()
		heartbeats := &Heartbeater{Identity: control.Identity{ID: "near"}, Loop: control.NewLoop(control.Identity{ID: "near"}), Client: client}
		heartbeats.sendHeartbeat(GinkgoT().Context(), address)
		between := far.Clock().Now()
		Expect(between).To(BeNumerically(">", before))
		heartbeats.sendHeartbeat(GinkgoT().Context(), address)
		Expect(near.Clock().Now()).To(BeNumerically(">", between))
	},
		Entry("behind", -30*time.Second),
		Entry("ahead", 30*time.Second))
})
