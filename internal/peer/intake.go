package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/intake"
	"heatherloom/internal/peer/peerv1/peerv1connect"
)

const (
	// forwardCopies is how often a forwarded body is held: as it arrives and decoded.
	forwardCopies = 2
	// unreadBodyTimeout bounds the reading of the body of a call without the secret.
	unreadBodyTimeout = time.Second
)

// carriesBody lists the calls that carry the body of a caller's request.
var carriesBody = map[string]bool{
	peerv1connect.PeerServiceForwardProcedure:  true,
	peerv1connect.PeerServiceRunWriteProcedure: true,
}

// withIntake rejects calls without the secret before their body is read, and counts the bodies of requests that peers
// pass on for the budget.
func withIntake(next http.Handler, auth authInterceptor, budget *intake.Budget) http.Handler {
	rejections := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if !auth.matches(r.Header.Get(headerSecret)) {
			// The interceptor would reject most calls only after it has read a message.
			if r.ProtoMajor == 1 {
				w.Header().Set("Connection", "close")
				_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
			}
			r.Body, r.ContentLength = http.NoBody, 0
			_ = rejections.Write(w, r, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated))
			return
		}
		// A peer may be about to send a forward, whose outcome would be unknown.
		intake.KeepConn(r)
		if !carriesBody[r.URL.Path] {
			next.ServeHTTP(w, r)
			return
		}
		share := budget.NewShare(nil, func() { _ = control.SetReadDeadline(time.Now()) })
		defer share.Release()
		r = r.WithContext(context.WithValue(r.Context(), shareKey{}, share))
		r.Body = &countedBody{ReadCloser: r.Body, share: share}
		next.ServeHTTP(w, r)
	})
}

type shareKey struct{}

// arrivedWhole records that the request of a call has arrived, and reports whether it keeps its memory.
func arrivedWhole(ctx context.Context) error {
	share, _ := ctx.Value(shareKey{}).(*intake.Share)
	if !share.Complete() {
		return noMemory()
	}
	return nil
}

// noMemory is the error of a call whose request was not processed because it found no memory.
func noMemory() error { return connect.NewError(connect.CodeResourceExhausted, intake.ErrNoMemory) }

// countedBody is the body of a call whose bytes count for a budget.
type countedBody struct {
	io.ReadCloser
	share *intake.Share
}

// Read implements io.Reader. It fails with noMemory if there is no memory for what it read.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.share.Grow(int64(n) * forwardCopies) {
		return 0, noMemory()
	}
	b.share.Progress()
	if err != nil && !errors.Is(err, io.EOF) && b.share.Yielded() {
		err = noMemory()
	}
	return n, err
}

// holdCopy takes memory for the copy of a body that is being sent, and reports whether there is some. The copy does
// not yield.
func (c *Client) holdCopy(body []byte) (release func(), ok bool) {
	share := c.budget.NewShare(nil, func() {})
	share.Complete()
	if !share.Grow(int64(len(body))) {
		share.Release()
		return nil, false
	}
	return share.Release, true
}
