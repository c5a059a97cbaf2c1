package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
	"heatherloom/internal/writes"
)

func runWrite(address string) *errkind.Error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := &dispatch.Request{ID: "r1", Method: http.MethodPost, Path: "/orders", Body: []byte("{}")}
	_, err := NewClient("a", "secret").RunWrite(ctx, routing.Peer{ID: "b", PeerAddress: address}, &writes.Write{Key: "k", Request: r})
	return err
}

// Guards against a draining instance that executes a write or accepts a copy, which would
// be lost when the instance stops.
func TestWritesWhileDraining(t *testing.T) {
	g := NewWithT(t)
	controller := drain.NewController()
	address := serve(t, (&Server{Secret: "secret", Writes: &writes.Service{}, Drain: controller}).Handler())
	controller.RequestDrain("test")
	g.Expect(controller.Run(context.Background(), drain.Schedule{})).To(Succeed())
	failure := runWrite(address)
	g.Expect(failure.Kind).To(Equal(errkind.Draining))
	g.Expect(failure.Execution).To(Equal(errkind.NotExecuted))
	_, err := NewClient("a", "secret").ServiceClient(address).CopyWrite(context.Background(),
		connect.NewRequest(&peerv1.CopyWriteRequest{State: "running", Owner: "hobart-1/0"}))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
}
