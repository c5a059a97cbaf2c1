package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/http2"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/peer/peerv1/peerv1connect"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin"
)

type recordingSink struct {
	heads int
	text  string
}

func (s *recordingSink) Head(int, http.Header) error { s.heads++; return nil }
func (s *recordingSink) Data(p []byte) error         { s.text += string(p); return nil }

func forward(address string, stream bool) (relay.Result, *recordingSink) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := &dispatch.Request{ID: "r1", Method: http.MethodPost, Path: "/orders", Body: []byte("{}"), Stream: stream}
	if stream {
		r.StreamPosition = &relay.StreamPosition{}
	}
	out := &recordingSink{}
	return NewClient("a", "secret").Forward(ctx, routing.Peer{ID: "b", PeerAddress: address}, r, out), out
}

// Guards against a request that is sent to a peer twice, against NotExecuted for one that
// the peer may have executed, and against ExecutionUnknown where the protocol states that
// the peer did not process it.
func TestForwardIsSentOnce(t *testing.T) {
	reset := func(code http2.ErrCode) func(*http2.Framer, uint32) bool {
		return func(f *http2.Framer, id uint32) bool { return f.WriteRSTStream(id, code) == nil }
	}
	goAway := func(last uint32, text string) func(*http2.Framer, uint32) bool {
		return func(f *http2.Framer, _ uint32) bool {
			_ = f.WriteGoAway(last, http2.ErrCodeNo, []byte(text))
			return last == 0
		}
	}
	for name, c := range map[string]struct {
		respond   func(*http2.Framer, uint32) bool
		execution errkind.Execution
	}{
		"refused stream":              {reset(http2.ErrCodeRefusedStream), errkind.NotExecuted},
		"protocol error":              {reset(http2.ErrCodeProtocol), errkind.ExecutionUnknown},
		"internal error":              {reset(http2.ErrCodeInternal), errkind.ExecutionUnknown},
		"stream canceled":             {reset(http2.ErrCodeCancel), errkind.ExecutionUnknown},
		"goaway before":               {goAway(0, ""), errkind.NotExecuted},
		"goaway after":                {goAway(1, ""), errkind.ExecutionUnknown},
		"goaway with misleading text": {goAway(1, "; REFUSED_STREAM; received from peer"), errkind.ExecutionUnknown},
		"no answer to pings":          {func(*http2.Framer, uint32) bool { return true }, errkind.ExecutionUnknown},
		"connection closed":           {func(*http2.Framer, uint32) bool { return false }, errkind.ExecutionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, err := standin.StartScriptedHTTP2(c.respond)
			g.Expect(err).To(BeNil())
			defer p.Close()
			result, out := forward(p.Addr().String(), false)
			g.Expect(result.Err).NotTo(BeNil())
			g.Expect(result.Err.Execution).To(Equal(c.execution), "%v", result.Err)
			g.Expect(result.Err.Kind).To(Equal(errkind.UpstreamFailed))
			g.Expect(result.Outcome == retry.NotSent).To(Equal(c.execution == errkind.NotExecuted))
			g.Expect(p.RequestCount()).To(BeEquivalentTo(1))
			g.Expect(out.heads).To(BeZero())
			failure := runWrite(p.Addr().String())
			g.Expect(failure.Execution).To(Equal(c.execution), "%v", failure)
			g.Expect(failure.Kind).To(Equal(errkind.WriteOwnerUnavailable))
			g.Expect(p.RequestCount()).To(BeEquivalentTo(2))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		g := NewWithT(t)
		p, err := standin.StartScriptedHTTP2(nil)
		g.Expect(err).To(BeNil())
		_ = p.Close()
		result, _ := forward(p.Addr().String(), false)
		g.Expect(result.Err.Execution).To(Equal(errkind.NotExecuted))
		g.Expect(runWrite(p.Addr().String()).Execution).To(Equal(errkind.NotExecuted))
	})
	t.Run("wrong secret", func(t *testing.T) {
		g := NewWithT(t)
		result, _ := forward(startPeer(t, "other", nil), false)
		g.Expect(result.Err.Execution).To(Equal(errkind.NotExecuted), "%v", result.Err)
	})
}

type scriptedPeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	parts []*peerv1.ForwardResponse
}

func (s scriptedPeer) Forward(_ context.Context, _ *connect.Request[peerv1.ForwardRequest], stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	for _, part := range s.parts {
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

func startPeer(t testing.TB, secret string, parts []*peerv1.ForwardResponse) string {
	_, handler := peerv1connect.NewPeerServiceHandler(scriptedPeer{parts: parts}, handlerOptions(secret)...)
	return serve(t, handler)
}

func serve(t testing.TB, handler http.Handler) string {
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols.SetHTTP1(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func headPart(media string) *peerv1.ForwardResponse {
	head := &peerv1.ForwardHead{Status: 200, Headers: map[string]string{"Content-Type": media}}
	return &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Head{Head: head}}
}

func dataPart(text string) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: []byte(text)}}
}

var endPart = &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_End{End: &peerv1.ForwardEnd{Complete: true, Attempts: 1}}}

// Guards against a forwarded response that is delivered as complete although its end
// message or [DONE] is missing.
func TestForwardedAnswerWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		parts    []*peerv1.ForwardResponse
		stream   bool
		text     string
		complete bool
	}{
		"plain":                 {[]*peerv1.ForwardResponse{headPart("text/plain"), dataPart("ab"), dataPart("c"), endPart}, false, "abc", true},
		"plain without end":     {[]*peerv1.ForwardResponse{headPart("text/plain"), dataPart("abc")}, false, "", false},
		"end only":              {[]*peerv1.ForwardResponse{endPart}, false, "", false},
		"stream":                {[]*peerv1.ForwardResponse{headPart("text/event-stream"), dataPart("data: x\n\ndata: [DONE]\n\n"), endPart}, true, "data: x\n\ndata: [DONE]\n\n", true},
		"stream without [DONE]": {[]*peerv1.ForwardResponse{headPart("text/event-stream"), dataPart("data: x\n\ndata: y"), endPart}, true, "data: x\n\n", false},
		"stream without end":    {[]*peerv1.ForwardResponse{headPart("text/event-stream"), dataPart("data: x\n\n")}, true, "data: x\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			result, out := forward(startPeer(t, "secret", c.parts), c.stream)
			g.Expect(result.Err == nil).To(Equal(c.complete), "%v", result.Err)
			g.Expect(out.text).To(Equal(c.text))
			if !c.complete {
				g.Expect(result.Err.Execution).NotTo(Equal(errkind.NotExecuted))
			}
		})
	}
}

// Guards against a panic that leaves the other instance without a response.
func TestForwardPanicIsAnswered(t *testing.T) {
	g := NewWithT(t)
	log := gbytes.NewBuffer()
	logger := logrus.New()
	logger.SetOutput(log)
	server := &Server{Secret: "secret", Log: logrus.NewEntry(logger), Dispatcher: &dispatch.Dispatcher{
		Snapshot: func() *routing.Snapshot { panic("test panic") }}}
	result, _ := forward(serve(t, server.Handler()), false)
	g.Expect(result.Err.Kind).To(Equal(errkind.Internal))
	g.Expect(result.Err.Execution).To(Equal(errkind.ExecutionUnknown))
	g.Expect(string(log.Contents())).To(ContainSubstring("test panic"))
}
