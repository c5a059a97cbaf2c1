package e2e

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/standin"
	"heatherloom/internal/timeline"
)

// authority is a CA created by a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// sign creates a key and a certificate for it. With a nil signer the certificate is self-signed.
func sign(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	if signer == nil {
		parent, signer = template, key
	}
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Minute), time.Now().Add(time.Hour)
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	return cert, key
}

func newAuthority() authority {
	cert, key := sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	return authority{cert, key}
}

// issue writes a certificate, its key and the trusted CAs into dir and returns the [tls]
// section of the settings file.
func (a authority) issue(dir string, trusted ...authority) string {
	GinkgoHelper()
	cert, key := sign(&x509.Certificate{IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.ParseIP(standin.LoopbackHost())}}, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	var pool []byte
	for _, t := range trusted {
		pool = append(pool, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: t.cert.Raw})...)
	}
	Expect(os.MkdirAll(dir, 0o700)).To(Succeed())
	for name, content := range map[string][]byte{
		"cert": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert.Raw}),
		"key":  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
		"ca":   pool,
	} {
		Expect(os.WriteFile(filepath.Join(dir, name), content, 0o600)).To(Succeed())
	}
	return fmt.Sprintf("[tls]\ncert=%[1]s/cert\nkey=%[1]s/key\nca=%[1]s/ca\n", dir)
}

var _ = Describe("TLS between separate processes", func() {
	// Guards against a peer with a certificate of another CA that becomes a member, and
	// against a rotation to a new CA that needs a restart or cuts streams between regions.
	It("rejects peers of another CA and rotates to a new CA under load", func() {
		oldCA, newCA, otherCA := newAuthority(), newAuthority(), newAuthority()
		roots := x509.NewCertPool()
		for _, a := range []authority{oldCA, newCA, otherCA} {
			roots.AddCert(a.cert)
		}
		httpClient.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
		DeferCleanup(func() { httpClient.Transport = nil })
		s := newTestStack()
		s.startSlowEngine("engine-b", "b", 20*time.Millisecond)
		s.startService("ledger", "a")
		dirs := []string{filepath.Join(s.dir, "tls-a"), filepath.Join(s.dir, "tls-b")}
		a := s.startOperatorEntry("entry-a", "a", oldCA.issue(dirs[0], oldCA))
		b := s.startOperatorEntry("entry-b", "b", oldCA.issue(dirs[1], oldCA))
		other := s.startOperatorEntry("entry-other", "b", otherCA.issue(filepath.Join(s.dir, "tls-other"), oldCA, otherCA))
		waitForRoute("https://" + a.caller)

		stop := make(chan struct{})
		counts, callers := startStreams("https://"+a.caller, stop)
		for _, step := range []func(dir string){
			func(dir string) { oldCA.issue(dir, oldCA, newCA) },
			func(dir string) { newCA.issue(dir, oldCA, newCA) },
			func(dir string) { newCA.issue(dir, newCA) },
		} {
			since := timeline.StampOf(time.Now())
			for _, dir := range dirs {
				step(dir)
			}
			for _, w := range []*operatorEntry{a, b} {
				Eventually(func() []timeline.Event {
					events, _ := w.client().Events(context.Background(), since)
					return events.Events
				}, 6*time.Second, "100ms").Should(ContainElement(And(HaveField("Kind", timeline.KindTLSReload), HaveField("Detail", "in use"))))
			}
		}
		close(stop)
		callers.Wait()
		Expect(counts.cut).To(BeEmpty())
		Expect(counts.draining).To(BeZero())
		Expect(counts.complete).To(BeNumerically(">", 6))
		out, code := runCommand("timeline", "-operator", "https://"+a.operator, "-ca", filepath.Join(dirs[0], "ca"), "-instance", "entry-b")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("event=forward_received"))
		Expect(entryIDs("https://" + a.caller)).To(ConsistOf("entry-a", "entry-b"))
		Expect(entryIDs("https://" + other.caller)).To(ConsistOf("entry-other"))
	})
})
