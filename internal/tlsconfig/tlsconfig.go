// Package tlsconfig holds the certificate of an entry instance and the CA that it
// trusts, and follows changes of their files. Each new connection uses the latest
// files; connections that are open keep the ones that they started with.
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
	// checkInterval is the time between two readings of the files. A comparison of
	// contents finds every change, also one within the resolution of file times.
	checkInterval = 2 * time.Second
	dialTimeout   = 2 * time.Second
)

// Files are the paths of PEM files.
type Files struct {
	// Cert holds the certificate of the instance, then its intermediates.
	Cert string
	Key  string
	// CA holds the certificates that peers must descend from.
	CA string
}

// material is one consistent reading of the files.
type material struct {
	digest [sha256.Size]byte
	cert   tls.Certificate
	pool   *x509.CertPool
}

// Source holds the latest valid reading of the files. It is safe for concurrent use.
type Source struct {
	files   Files
	current atomic.Pointer[material]
	// seen is the digest of the last reading, valid or not, so that a broken file
	// is reported once. Only Run uses it.
	seen [sha256.Size]byte
}

// Load reads the files. It returns an error if one is missing or not valid.
func Load(files Files) (*Source, error) {
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	s := &Source{files: files, seen: m.digest}
	s.current.Store(m)
	return s, nil
}

// read reads and checks the files. After an error it returns the digest alone, if
// all files could be read.
func read(files Files) (*material, error) {
	m := &material{}
	var contents [3][]byte
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		raw, err := os.ReadFile(path)
		if err != nil {
			return m, eris.Wrap(err, "read a TLS file")
		}
		contents[i] = raw
	}
	m.digest = sha256.Sum256(bytes.Join(contents[:], []byte{0}))
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return m, eris.Wrapf(err, "certificate %s and key %s", files.Cert, files.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[2]) {
		return m, eris.Errorf("CA file %s holds no PEM certificate", files.CA)
	}
	m.cert, m.pool = cert, pool
	return m, nil
}

// Run follows the files until ctx ends. report is called after each change: with
// nil for a new reading in use, and with the error of a broken one, which leaves
// the previous reading in use.
func (s *Source) Run(ctx context.Context, report func(error)) {
	s.run(ctx, checkInterval, report)
}

func (s *Source) run(ctx context.Context, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.check(report)
		}
	}
}

func (s *Source) check(report func(error)) {
	m, err := read(s.files)
	if m.digest == s.seen {
		return
	}
	s.seen = m.digest
	if err == nil {
		s.current.Store(m)
	}
	report(err)
}

// Expires returns the end of the validity of the certificate in use.
func (s *Source) Expires() time.Time { return s.current.Load().cert.Leaf.NotAfter }

// Server returns the configuration of a listener. Each handshake uses the latest files.
// With clientCA, clients need a certificate of the CA.
func (s *Source) Server(clientCA bool, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{m.cert},
			}
			if clientCA {
				config.MinVersion = tls.VersionTLS13
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = m.pool
				// A resumed session would skip the check against the latest CA.
				config.SessionTicketsDisabled = true
			}
			return config, nil
		},
	}
}

// Dial connects to a peer listener and completes the handshake, in which both sides
// check the certificate of the other against the latest CA.
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
	m := s.current.Load()
	conn := tls.Client(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		ServerName:   host,
		RootCAs:      m.pool,
		Certificates: []tls.Certificate{m.cert},
	})
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}
