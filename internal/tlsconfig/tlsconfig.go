// Package tlsconfig loads the certificate of an entry instance and the CA certificates that it
// trusts, and reloads them when their files change. New connections use the latest files; open
// connections are not affected.
package tlsconfig

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// reloadInterval is the interval at which the files are read. Their contents are compared,
	// because modification times can miss a change within their resolution.
	reloadInterval = 2 * time.Second
	dialTimeout    = 2 * time.Second
)

// Files are the paths of PEM files.
type Files struct {
	// Cert contains the certificate of the instance, followed by the intermediate certificates.
	Cert string
	Key  string
	// CA contains the CA certificates that the certificates of peers must chain to.
	CA string
}

// credentials is the content of the files, read together and checked for consistency.
type credentials struct {
	digest [sha256.Size]byte
	cert   tls.Certificate
	pool   *x509.CertPool
}

// Source provides the latest valid content of the files. It is safe for concurrent use.
type Source struct {
	files   Files
	current atomic.Pointer[credentials]
	// lastDigest is the digest of the latest content, valid or not, so that an invalid file
	// is reported only once. Only Run uses it.
	lastDigest [sha256.Size]byte
}

// Load reads the files. It returns an error if one is missing or invalid.
func Load(files Files) (*Source, error) {
	c, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	s := &Source{files: files, lastDigest: c.digest}
	s.current.Store(c)
	return s, nil
}

// readFiles reads and checks the files. With an error, the result contains only the digest, and
// only if all files could be read.
func readFiles(files Files) (*credentials, error) {
	c := &credentials{}
	var contents [3][]byte
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		raw, err := os.ReadFile(path)
		if err != nil {
			return c, eris.Wrap(err, "read TLS file")
		}
		contents[i] = raw
	}
	c.digest = sha256.Sum256(bytes.Join(contents[:], []byte{0}))
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return c, eris.Wrapf(err, "certificate %s and key %s", files.Cert, files.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[2]) {
		return c, eris.Errorf("CA file %s contains no PEM certificate", files.CA)
	}
	c.cert, c.pool = cert, pool
	return c, nil
}

// Run reloads the files until ctx ends. It calls report after each change, with nil if the new
// files are in use, or with an error if they are invalid and the previous ones stay in use.
func (s *Source) Run(ctx context.Context, report func(error)) {
	s.run(ctx, reloadInterval, report)
}

func (s *Source) run(ctx context.Context, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reload(report)
		}
	}
}

func (s *Source) reload(report func(error)) {
	c, err := readFiles(s.files)
	if c.digest == s.lastDigest {
		return
	}
	s.lastDigest = c.digest
	if err == nil {
		s.current.Store(c)
	}
	report(err)
}

// ExpiresAt returns the time at which the certificate in use expires.
func (s *Source) ExpiresAt() time.Time { return s.current.Load().cert.Leaf.NotAfter }

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the latest
// files. With clientCA, clients must present a certificate issued by the CA.
func (s *Source) ServerConfig(clientCA bool, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := s.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{c.cert},
			}
			if clientCA {
				config.MinVersion = tls.VersionTLS13
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = c.pool
				// Session resumption would skip verification against the latest CA.
				config.SessionTicketsDisabled = true
			}
			return config, nil
		},
	}
}

// Dial connects to a peer listener and completes the mutual TLS handshake with the latest
// files.
func (s *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := s.current.Load()
	conn := tls.Client(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		ServerName:   host,
		RootCAs:      c.pool,
		Certificates: []tls.Certificate{c.cert},
	})
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}
