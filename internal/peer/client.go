package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/peer/peerv1/peerv1connect"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

// pingInterval is the silence after which an HTTP/2 ping checks a connection, and
// pingTimeout the wait for its answer.
const (
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// Client reaches other entry instances. It is safe for concurrent use.
type Client struct {
	selfID string
	secret string
	http   *http.Client
	scheme string
	// clock travels with each message; nil for none.
	clock *timeline.Clock

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerServiceClient
}

// NewClient returns a client that authenticates itself with secret.
func NewClient(selfID, secret string) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return &Client{
		selfID:  selfID,
		secret:  secret,
		http:    &http.Client{Transport: transport},
		scheme:  "http://",
		clients: map[string]peerv1connect.PeerServiceClient{},
	}
}

// UseClock makes the client send and adopt readings of clock. It is called before
// the first message.
func (c *Client) UseClock(clock *timeline.Clock) { c.clock = clock }

// UseTLS makes the client reach peers over TLS connections that dial makes. It is
// called before the first message.
func (c *Client) UseTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	transport := c.http.Transport.(*http.Transport)
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP2(true)
	transport.DialTLSContext = dial
	c.scheme = "https://"
}

// At returns the service client of the peer listener at address.
func (c *Client) At(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = peerv1connect.NewPeerServiceClient(c.http, c.scheme+address,
			connect.WithInterceptors(authInterceptor{secret: c.secret}))
		c.clients[address] = client
	}
	return client
}

// Forward implements dispatch.Forwarder.
func (c *Client) Forward(ctx context.Context, p routing.Peer, r *dispatch.Request, sink dispatch.Sink) relay.Result {
	stream, err := c.At(p.PeerAddress).Forward(ctx, connect.NewRequest(c.forwardRequest(r)))
	if err != nil {
		return forwardFailure(err, false)
	}
	defer stream.Close()
	return receive(stream, sink, c.clock)
}

func (c *Client) forwardRequest(r *dispatch.Request) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		RequestId:   r.ID,
		Account:     r.Account,
		Method:      r.Method,
		Path:        r.Path,
		Headers:     flatten(r.Header),
		Body:        r.Body,
		Visited:     append(append([]string{}, r.Visited...), c.selfID),
		Deadline:    r.Deadline.UnixNano(),
		BoundRegion: r.BoundRegion,
		Target:      r.Target,
		Stream:      r.Stream,
		Repeatable:  r.Repeatable,
		Clock:       uint64(c.clock.Now()),
	}
}

// receive delivers the parts of a forwarded answer. The end message proves that
// the answer is whole.
func receive(stream *connect.ServerStreamForClient[peerv1.ForwardResponse], sink dispatch.Sink, clock *timeline.Clock) relay.Result {
	started := false
	for stream.Receive() {
		switch part := stream.Msg().GetPart().(type) {
		case *peerv1.ForwardResponse_Head:
			started = true
			if err := sink.Head(int(part.Head.GetStatus()), unflatten(part.Head.GetHeaders())); err != nil {
				return callerGone(err)
			}
		case *peerv1.ForwardResponse_Data:
			if err := sink.Data(part.Data); err != nil {
				return callerGone(err)
			}
		case *peerv1.ForwardResponse_End:
			clock.Observe(timeline.Stamp(part.End.GetClock()))
			return endResult(part.End, started)
		}
	}
	return forwardFailure(stream.Err(), started)
}

func endResult(end *peerv1.ForwardEnd, started bool) relay.Result {
	if end.GetComplete() {
		return relay.Result{Started: started}
	}
	e := errkind.New(errkind.Kind(end.GetKind()), "%s", end.GetMessage())
	e.Ran = errkind.Ran(end.GetRan())
	e.RetryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	return relay.Result{Err: e, Started: started}
}

// forwardFailure classifies a broken forward. Whether the other instance sent the
// request to an upstream cannot be known.
func forwardFailure(err error, started bool) relay.Result {
	kind := errkind.UpstreamFailed
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		kind = errkind.UpstreamTimeout
	}
	e := errkind.Wrap(err, kind, errkind.RanUnknown, "the entry instance of the other region did not answer")
	return relay.Result{Err: e, Started: started, UpstreamFault: true}
}

func callerGone(err error) relay.Result {
	e := errkind.Wrap(err, errkind.Internal, errkind.RanYes, "the caller closed the connection")
	return relay.Result{Err: e, Started: true}
}

func flatten(h http.Header) map[string]string {
	flat := make(map[string]string, len(h))
	for name := range h {
		flat[name] = h.Get(name)
	}
	return flat
}

func unflatten(flat map[string]string) http.Header {
	h := make(http.Header, len(flat))
	for name, value := range flat {
		h.Set(name, value)
	}
	return h
}
