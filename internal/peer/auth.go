package peer

import (
	"context"
	"crypto/subtle"
	"errors"

	"connectrpc.com/connect"
)

// headerSecret names the header with the shared secret of the entry instances.
const headerSecret = "X-Heatherloom-Peer"

var errUnauthenticated = errors.New("the peer sent no valid secret")

// authInterceptor adds the secret to outgoing calls and requires it on incoming ones.
type authInterceptor struct {
	secret string
}

// WrapUnary implements connect.Interceptor.
func (a authInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			req.Header().Set(headerSecret, a.secret)
			return next(ctx, req)
		}
		if !a.matches(req.Header().Get(headerSecret)) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a authInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(headerSecret, a.secret)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (a authInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if !a.matches(conn.RequestHeader().Get(headerSecret)) {
			return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
		}
		return next(ctx, conn)
	}
}

func (a authInterceptor) matches(got string) bool {
	return a.secret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(a.secret)) == 1
}
