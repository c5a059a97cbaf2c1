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

	"heatherloom/internal/timeline"
)

// authority is a CA that a test made.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

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

// issue writes the files of a certificate into dir and returns the section [tls].
func (a authority) issue(dir string, trusted ...authority) string {
	GinkgoHelper()
	cert, key := sign(&x509.Certificate{IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}, a.cert, a.key)
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
	// Guards against a peer of another CA that becomes a member, and against a
	// rotation to a new CA that needs a restart or cuts streams between regions.
	It("refuses peers of another CA and rotates under load", func() {
		oldCA, newCA, otherCA := newAuthority(), newAuthority(), newAuthority()
		roots := x509.NewCertPool()
		for _, a := range []authority{oldCA, newCA, otherCA} {
			roots.AddCert(a.cert)
		}
		httpClient.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
		DeferCleanup(func() { httpClient.Transport = nil })
		s := newSite()
		s.configure()
		s.slowEngine("engine-b", "b", 20*time.Millisecond)
		s.service("ledger-a", "a")
		dirs := []string{filepath.Join(s.dir, "tls-a"), filepath.Join(s.dir, "tls-b")}
		a := s.watchedEntry("entry-a", "a", oldCA.issue(dirs[0], oldCA))
		b := s.watchedEntry("entry-b", "b", oldCA.issue(dirs[1], oldCA))
		other := s.watchedEntry("entry-other", "b", otherCA.issue(filepath.Join(s.dir, "tls-other"), oldCA, otherCA))
		waitForRoute("https://" + a.caller)

		stop := make(chan struct{})
		seen, callers := drainUnderLoad("https://"+a.caller, stop)
		for _, step := range []func(dir string){
			func(dir string) { oldCA.issue(dir, oldCA, newCA) },
			func(dir string) { newCA.issue(dir, oldCA, newCA) },
			func(dir string) { newCA.issue(dir, newCA) },
		} {
			since := timeline.StampOf(time.Now())
			for _, dir := range dirs {
				step(dir)
			}
			for _, w := range []*watched{a, b} {
				Eventually(func() []timeline.Event {
					events, _ := w.client().Events(context.Background(), since)
					return events.Events
				}, 6*time.Second, "100ms").Should(ContainElement(And(HaveField("Kind", timeline.KindTLS), HaveField("Detail", "in use"))))
			}
		}
		close(stop)
		callers.Wait()
		Expect(seen.cut).To(BeEmpty())
		Expect(seen.draining).To(BeZero())
		Expect(seen.complete).To(BeNumerically(">", 6))
		out, code := command("timeline", "-operator", "https://"+a.operator, "-ca", filepath.Join(dirs[0], "ca"), "-instance", "entry-b")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("event=forward_received"))
		Expect(entryIDs("https://" + a.caller)).To(ConsistOf("entry-a", "entry-b"))
		Expect(entryIDs("https://" + other.caller)).To(ConsistOf("entry-other"))
	})
})
