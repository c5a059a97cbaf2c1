// Package relay makes one attempt of a request against an upstream and checks that
// the answer belongs to the request and is whole.
package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"heatherloom/internal/errkind"
)

// HeaderRequestID carries the request id to upstreams, which echo it, and to callers.
const HeaderRequestID = "X-Request-Id"

const (
	dialTimeout = 2 * time.Second
	// idleConnTimeout bounds the life of an idle pooled connection, so that one that
	// a middlebox has forgotten is not used much later.
	idleConnTimeout = 90 * time.Second
	// firstByteTimeout bounds the wait for the head of an answer.
	firstByteTimeout = 60 * time.Second
	// progressTimeout bounds the silence between two parts of an answer.
	progressTimeout = 10 * time.Second
	// maxPlainAnswerBytes bounds an answer that is held until it is whole.
	maxPlainAnswerBytes = 16 << 20
	idleConnsPerHost    = 64
)

// Sink receives an answer. Head is called at most once and before Data. An error
// of either means that the caller has gone.
type Sink interface {
	Head(status int, header http.Header) error
	Data(p []byte) error
}

// Attempt is one try of a request against one upstream.
type Attempt struct {
	RequestID string
	// Address is host:port of the upstream.
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Stream  bool
	// Repeatable attempts may be repeated by the transport on a broken connection.
	Repeatable bool
}

// Result is the outcome of an attempt.
type Result struct {
	// Err is nil if the whole answer was delivered.
	Err *errkind.Error
	// Started is true once the sink received a head.
	Started bool
	// UpstreamFault is true if the upstream caused the failure.
	UpstreamFault bool
}

// Relay holds the connection pools. It is safe for concurrent use.
type Relay struct {
	client *http.Client
}

// New returns a Relay with empty pools.
func New() *Relay {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   idleConnsPerHost,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: firstByteTimeout,
		DisableCompression:    true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Relay{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Do makes the attempt and delivers the answer to sink. A plain answer is
// delivered only once it is whole; a stream is delivered as it arrives.
func (r *Relay) Do(ctx context.Context, a Attempt, sink Sink) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := newRequest(ctx, a)
	if err != nil {
		return Result{Err: errkind.Wrap(err, errkind.Internal, errkind.RanNo, "the request could not be built")}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return sendFailure(ctx, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderRequestID); got != a.RequestID {
		return upstreamFault(errkind.AnswerMismatched, errkind.RanUnknown, nil, "the upstream sent an answer to another request")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return upstreamFault(errkind.UpstreamFailed, errkind.RanUnknown, nil, "the upstream failed with status %d", resp.StatusCode)
	}
	if a.Stream && resp.StatusCode == http.StatusOK {
		return copyStream(ctx, cancel, resp, sink)
	}
	return copyPlain(ctx, cancel, resp, sink)
}

// newRequest builds the upstream request. A write's body has no GetBody, so that
// net/http does not send it again on a broken pooled connection.
func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(a.Body)
	if !a.Repeatable {
		body = io.NopCloser(body)
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Body))
	if len(a.Body) == 0 {
		req.Body = writeGuard(a)
	}
	if a.Header != nil {
		req.Header = a.Header.Clone()
	}
	req.Header.Set(HeaderRequestID, a.RequestID)
	return req, nil
}

// writeGuard returns a non-nil empty body for a write without a body, since
// net/http repeats requests without a body.
func writeGuard(a Attempt) io.ReadCloser {
	if a.Repeatable {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(nil))
}

// sendFailure classifies an error before the head of an answer. Only a failed
// dial proves that the request did not run.
func sendFailure(ctx context.Context, err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return upstreamFault(errkind.UpstreamFailed, errkind.RanNo, err, "the upstream could not be reached")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || isTimeout(err) {
		return upstreamFault(errkind.UpstreamTimeout, errkind.RanUnknown, err, "the upstream sent no answer in time")
	}
	return upstreamFault(errkind.UpstreamFailed, errkind.RanUnknown, err, "the connection to the upstream broke")
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func upstreamFault(k errkind.Kind, ran errkind.Ran, cause error, format string, args ...any) Result {
	e := errkind.New(k, format, args...)
	e.Ran = ran
	e.Cause = cause
	return Result{Err: e, UpstreamFault: true}
}

var errNoProgress = errors.New("no progress within the time limit")

// copyPlain delivers the answer after all of it arrived.
func copyPlain(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, sink Sink) Result {
	body, err := readWhole(cancel, resp.Body)
	if err != nil {
		return bodyFailure(ctx, err, false)
	}
	if err := sink.Head(resp.StatusCode, answerHeader(resp.Header)); err != nil {
		return callerGone(err)
	}
	if err := sink.Data(body); err != nil {
		return callerGone(err)
	}
	return Result{Started: true}
}

func readWhole(cancel context.CancelCauseFunc, body io.Reader) ([]byte, error) {
	var whole bytes.Buffer
	progress := time.AfterFunc(progressTimeout, func() { cancel(errNoProgress) })
	defer progress.Stop()
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		progress.Reset(progressTimeout)
		whole.Write(buf[:n])
		if whole.Len() > maxPlainAnswerBytes {
			return nil, errors.New("answer exceeds the size limit")
		}
		if errors.Is(err, io.EOF) {
			return whole.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyFailure classifies a break after the head of an answer.
func bodyFailure(ctx context.Context, err error, started bool) Result {
	kind := errkind.AnswerIncomplete
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), errNoProgress) {
		kind = errkind.UpstreamTimeout
	}
	result := upstreamFault(kind, errkind.RanYes, err, "the answer of the upstream broke off")
	result.Started = started
	return result
}

func callerGone(err error) Result {
	return Result{
		Err:     errkind.Wrap(err, errkind.Internal, errkind.RanYes, "the caller closed the connection"),
		Started: true,
	}
}

// answerHeaders are the upstream's headers that callers receive.
var answerHeaders = []string{"Content-Type", "Cache-Control", "Etag", "Last-Modified", "Location"}

func answerHeader(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range answerHeaders {
		if v := in.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	return out
}
