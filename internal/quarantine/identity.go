package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// This file defines which requests are the same. What an upstream executes are the method, the request
// target and the body, whichever client account sends them, so that evidence is kept by that content:
// at a service, which many hosts may lead to, and at a host, whose routes may move to another service.
// The same content at another host and another service is another request: other software executes it.
//
// Not part of the content are the other headers. Request ids, deadlines and prompt lists differ
// between repeats of a request; parts of prompts are examined by themselves.

// Content identifies the method, request target and body of a request.
type Content uint64

// ContentOf returns the content of a request. Targets that RFC 3986 calls equivalent by their percent
// encoding have the same content.
func ContentOf(method, target string, body []byte) Content {
	return Content(hashFields(body, method, normalizeTarget(target)))
}

// AtService returns the fingerprint of the content at a service or model, without its version.
func (c Content) AtService(service string) Fingerprint { return c.at("service", service) }

// AtHost returns the fingerprint of the content at a host, with or without a port.
func (c Content) AtHost(host string) Fingerprint { return c.at("host", normalizeHost(host)) }

func (c Content) at(kind, name string) Fingerprint {
	b := binary.LittleEndian.AppendUint64([]byte(kind+" "), uint64(c))
	return Fingerprint(xxhash.Sum64(append(b, name...)))
}

// FingerprintOf returns the fingerprint of a request of one client account to a model, a service of
// the API or a host. Instances of earlier releases know only this one.
func FingerprintOf(account, target, method, path string, body []byte) Fingerprint {
	return Fingerprint(hashFields(body, account, target, method, path))
}

// hashFields hashes fields and a body. Each field is preceded by its length.
func hashFields(body []byte, fields ...string) uint64 {
	h := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// normalizeTarget decodes the unreserved characters of a request target and writes the other percent
// encodings in upper case (RFC 3986, section 6.2.2).
func normalizeTarget(target string) string {
	if !strings.Contains(target, "%") {
		return target
	}
	var b strings.Builder
	for i := 0; i < len(target); i++ {
		value, ok := percentDecoded(target[i:])
		switch {
		case !ok:
			b.WriteByte(target[i])
		case isUnreserved(value):
			b.WriteByte(value)
			i += 2
		default:
			b.WriteString(strings.ToUpper(target[i : i+3]))
			i += 2
		}
	}
	return b.String()
}

// percentDecoded returns the byte that a text begins with in percent encoding.
func percentDecoded(s string) (value byte, ok bool) {
	if len(s) < 3 || s[0] != '%' {
		return 0, false
	}
	high, okHigh := hexDigit(s[1])
	low, okLow := hexDigit(s[2])
	return high<<4 | low, okHigh && okLow
}

func hexDigit(c byte) (value byte, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return c | 0x20 - 'a' + 10, true
	}
	return 0, false
}

func isUnreserved(c byte) bool {
	return 'a' <= c|0x20 && c|0x20 <= 'z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
