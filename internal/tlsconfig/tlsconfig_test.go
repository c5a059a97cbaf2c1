package tlsconfig

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTLSConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsconfig")
}

// authority is a CA created by a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

var serial atomic.Int64

func certificate(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	if signer == nil {
		parent, signer = template, key
	}
	template.SerialNumber = big.NewInt(serial.Add(1))
	template.NotBefore = time.Now().Add(-time.Minute)
	template.NotAfter = time.Now().Add(time.Hour)
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	return cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
}

func newAuthority(name string) authority {
	cert, key, raw := certificate(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}, nil, nil)
	return authority{cert: cert, key: key, pem: raw}
}

// issue writes a certificate for 127.0.0.1 issued by the CA, its key and the trusted CAs to files.
func (a authority) issue(files Files, trusted ...authority) {
	GinkgoHelper()
	_, key, raw := certificate(&x509.Certificate{
		Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	var pool []byte
	for _, t := range trusted {
		pool = append(pool, t.pem...)
	}
	for path, content := range map[string][]byte{
		files.Cert: raw, files.Key: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), files.CA: pool,
	} {
		Expect(os.WriteFile(path, content, 0o600)).To(Succeed())
	}
}

func newFiles() Files {
	dir := GinkgoT().TempDir()
	return Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
}

func load(files Files) *Source {
	GinkgoHelper()
	s, err := Load(files)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// serve starts a peer listener that responds with the protocol version, and returns its address.
func serve(s *Source) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.Proto)) }),
		TLSConfig: s.ServerConfig(true, "h2"), Protocols: protocols,
		ErrorLog: log.New(GinkgoWriter, "", 0),
	}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// get sends one request on a new connection.
func get(s *Source, address string) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	transport := &http.Transport{DialTLSContext: s.Dial, Protocols: protocols}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	resp, err := client.Get("https://" + address)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	Expect(resp.Proto).To(Equal("HTTP/2.0"))
	return nil
}

// dialWithCertificate connects and sends the certificate even if the server does not list its CA
// as acceptable. It returns the server's error.
func dialWithCertificate(s *Source, address string) error {
	c := s.current.Load()
	conn, err := tls.Dial("tcp", address, &tls.Config{
		RootCAs: c.pool, NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c.cert, nil },
	})
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}

var _ = Describe("the certificates", func() {
	// Guards against a peer that is accepted without a certificate or with one of an untrusted CA,
	// on either side of a connection.
	It("refuses peers of another CA and peers without a certificate", func() {
		ours, theirs := newAuthority("ours"), newAuthority("theirs")
		ourFiles, theirFiles := newFiles(), newFiles()
		ours.issue(ourFiles, ours)
		theirs.issue(theirFiles, ours, theirs)
		server := load(ourFiles)
		address := serve(server)
		Expect(get(server, address)).To(Succeed())
		Expect(get(load(theirFiles), address)).To(HaveOccurred())
		Expect(dialWithCertificate(load(theirFiles), address)).To(MatchError(ContainSubstring("tls: unknown certificate authority")))
		Expect(get(server, serve(load(theirFiles)))).To(MatchError(ContainSubstring("unknown authority")))

		anonymous := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: server.current.Load().pool}}}
		_, err := anonymous.Get("https://" + address)
		Expect(err).To(MatchError(ContainSubstring("certificate required")))
	})

	// Guards against a certificate rotation that interrupts traffic or needs a restart. The
	// rotation adds a new CA, replaces the certificate and then removes the old CA.
	It("rotates while traffic runs", func() {
		oldCA, newCA := newAuthority("old"), newAuthority("new")
		files := newFiles()
		oldCA.issue(files, oldCA)
		source := load(files)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			// Errors are ignored, because files that are partly written are temporarily invalid.
			source.run(ctx, 10*time.Millisecond, func(error) {})
		}()
		DeferCleanup(func() { cancel(); <-stopped })
		address := serve(source)
		var calls atomic.Int64
		failures := make(chan error, 1000)
		trafficStopped := make(chan struct{})
		go func() {
			defer close(trafficStopped)
			for ctx.Err() == nil {
				if err := get(source, address); err != nil {
					failures <- err
				}
				calls.Add(1)
			}
		}()
		for _, step := range []func(){
			func() { oldCA.issue(files, oldCA, newCA) },
			func() { newCA.issue(files, oldCA, newCA) },
			func() { newCA.issue(files, newCA) },
		} {
			step()
			want, err := readFiles(files)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() any { return source.current.Load().digest }, 2*time.Second, "5ms").Should(Equal(want.digest))
			at := calls.Load()
			Eventually(calls.Load, 5*time.Second, "5ms").Should(BeNumerically(">", at+5))
		}
		cancel()
		<-trafficStopped
		Expect(failures).To(BeEmpty())
		oldFiles := newFiles()
		oldCA.issue(oldFiles, oldCA, newCA)
		Expect(get(load(oldFiles), address)).To(HaveOccurred())
	})

	// Guards against an invalid file that takes an instance out of service, and against an error
	// that is reported at each reload instead of once.
	It("keeps the old files in use while a new one is broken", func() {
		ca := newAuthority("ca")
		files := newFiles()
		ca.issue(files, ca)
		source := load(files)
		address := serve(source)
		var reports []error
		reload := func() { source.reload(func(err error) { reports = append(reports, err) }) }
		for path, content := range map[string]string{files.Cert: "broken", files.CA: "broken", files.Key: ""} {
			original, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
			reports = nil
			reload()
			reload()
			Expect(reports).To(HaveLen(1))
			Expect(reports[0]).To(HaveOccurred())
			Expect(get(source, address)).To(Succeed())
			Expect(os.WriteFile(path, original, 0o600)).To(Succeed())
			reload()
			Expect(reports).To(HaveLen(2))
			Expect(reports[1]).NotTo(HaveOccurred())
		}
		Expect(os.Remove(files.Key)).To(Succeed())
		reload()
		Expect(reports).To(HaveLen(3))
		Expect(get(source, address)).To(Succeed())
		_, err := Load(files)
		Expect(err).To(HaveOccurred())
	})
})
