package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/abortive"
	"heatherloom/internal/intake"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/peer/peerv1/peerv1connect"
	"heatherloom/internal/relay"
	"heatherloom/internal/timeline"
)

const (
	// pingInterval is the idle time after which an HTTP/2 ping checks a connection, and
	// pingTimeout the wait for its acknowledgement.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	dialTimeout  = 2 * time.Second
	// idleConnTimeout is the time after which an idle connection between instances is closed.
	idleConnTimeout = 90 * time.Second
)

// Client calls other entry instances. It is safe for concurrent use.
type Client struct {
	selfID string
	secret string
	limits relay.Limits
	http   *http.Client
	// transport is the base transport of http.
	transport *http.Transport
	scheme    string
	// clock supplies the reading that each message carries; nil for none.
	clock *timeline.Clock

	// budget bounds the memory for requests that are being sent; nil for no bound.
	budget *intake.Budget

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerServiceClient
}

// NewClient returns a client that authenticates with secret.
func NewClient(selfID, secret string) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:     abortiveDialer(dialer.DialContext),
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		IdleConnTimeout: idleConnTimeout,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		selfID:    selfID,
		secret:    secret,
		limits:    relay.DefaultLimits(),
		http:      &http.Client{Transport: singleSendTransport{transport}, CheckRedirect: noRedirect},
		transport: transport,
		scheme:    "http://",
		clients:   map[string]peerv1connect.PeerServiceClient{},
	}
}

// SetClock makes the client attach readings of clock to its messages and advance clock by
// the readings it receives. It must be called before the first message.
func (c *Client) SetClock(clock *timeline.Clock) { c.clock = clock }

// SetBudget sets the memory for requests that are being sent. It must be called before the first message.
func (c *Client) SetBudget(budget *intake.Budget) { c.budget = budget }

// SetTLSDialer makes the client use the TLS connections that dial returns. It must be called
// before the first message.
func (c *Client) SetTLSDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.transport.Protocols = new(http.Protocols)
	c.transport.Protocols.SetHTTP2(true)
	c.transport.DialTLSContext = dial
	c.scheme = "https://"
}

// SetDialer replaces the function that connects to peers. It must be called before the first
// message.
func (c *Client) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.transport.DialContext = abortiveDialer(dial)
}

// abortiveDialer returns a dialer whose connections do not deliver forwards that were given up.
func abortiveDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return abortive.New(raw), nil
	}
}

// ServiceClient returns the service client of the peer listener at address.
func (c *Client) ServiceClient(address string) peerv1connect.PeerServiceClient {
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

// PullConfig asks the peer at address for the configuration changes after revision from.
func (c *Client) PullConfig(ctx context.Context, address string, from int64) (*peerv1.PullConfigResponse, error) {
	resp, err := c.ServiceClient(address).PullConfig(ctx, connect.NewRequest(&peerv1.PullConfigRequest{FromRevision: from}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
