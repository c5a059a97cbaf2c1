package node

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/settings"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
	"heatherloom/internal/tlsconfig"
)

// loadTLS loads the TLS files if they are configured.
func (n *Node) loadTLS(s settings.TLS) error {
	if !s.Enabled() {
		return nil
	}
	source, err := tlsconfig.Load(tlsconfig.Files{Cert: s.Cert, Key: s.Key, CA: s.CA})
	n.tls = source
	return err
}

// watchTLSFiles reloads the TLS files when they change, and logs and records each reload.
func (n *Node) watchTLSFiles(log *logrus.Entry) {
	if n.tls == nil {
		return
	}
	n.wg.Go(func() {
		n.tls.Run(n.ctx, func(err error) {
			entry := log.WithField(telemetry.FieldEvent, "tls_files")
			if err != nil {
				entry.WithError(err).Error("changed TLS files are invalid; the previous ones stay in use")
				n.timeline.Record(timeline.Event{Kind: timeline.KindTLSReload, Detail: "not valid: " + err.Error()})
				return
			}
			entry.WithField(telemetry.FieldExpires, n.tls.ExpiresAt().UTC()).Info("changed TLS files loaded")
			n.timeline.Record(timeline.Event{Kind: timeline.KindTLSReload, Detail: "in use"})
		})
	})
}

// scheme returns the URL scheme of the caller and operator listeners, with "://".
func (n *Node) scheme() string {
	if n.tls != nil {
		return "https://"
	}
	return "http://"
}

// callerTLS returns the TLS configuration of the caller and operator listeners; nil
// without TLS.
func (n *Node) callerTLS() *tls.Config {
	if n.tls == nil {
		return nil
	}
	return n.tls.ServerConfig(false, "h2", "http/1.1")
}

// peerTLS returns the TLS configuration of the peer listener, which requires a client
// certificate of the CA in addition to the shared secret; nil without TLS.
func (n *Node) peerTLS() *tls.Config {
	if n.tls == nil {
		return nil
	}
	return n.tls.ServerConfig(true, "h2")
}

func (n *Node) peerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	if n.tls != nil {
		protocols.SetHTTP2(true)
		return protocols
	}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// serveOn serves the listener, over TLS if the server has a TLS configuration.
func serveOn(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}
