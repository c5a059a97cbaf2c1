package quarantine

import (
	"testing"
	"time"
)

// Guards against spellings of one request that count apart, and against one identity for different requests.
func TestContentIsWhatUpstreamsExecute(t *testing.T) {
	base := ContentOf("GET", "/a%2Fb/~c?x=%C3%A9", []byte("body"))
	for _, target := range []string{"/a%2fb/~c?x=%c3%a9", "/%61%2Fb/%7Ec?x=%C3%A9", "/a%2Fb/~%63?%78=%C3%A9"} {
		if ContentOf("GET", target, []byte("body")) != base {
			t.Errorf("%s differs", target)
		}
	}
	for _, target := range []string{"/a/b/~c?x=%C3%A9", "/a%2Fb/~c?x=%C3%A8", "/a%2Fb/~C?x=%C3%A9", "/a%2Fb/~c", "/a%2Fb/~c?x=%C3%A", "/a%2Fb/~c?x=%C3%A9%"} {
		if ContentOf("GET", target, []byte("body")) == base {
			t.Errorf("%s is the same", target)
		}
	}
	if ContentOf("PUT", "/a%2Fb/~c?x=%C3%A9", []byte("body")) == base || ContentOf("GET", "/a%2Fb/~c?x=%C3%A9", nil) == base {
		t.Error("another method or body is the same")
	}
	for _, host := range []string{"H.example", "h.example:80", "h.example."} {
		if base.AtHost(host) != base.AtHost("h.example") {
			t.Errorf("host %s differs", host)
		}
	}
	if base.AtHost("h") == base.AtHost("i") || base.AtService("s") == base.AtService("s2") || base.AtService("s") == base.AtHost("s") {
		t.Error("the content is the same at another place")
	}
}

// Guards against crashes that several client accounts, hosts or services share and that count apart, and
// against a content that is rejected at a place where it crashed nothing.
func TestCrashesCountForTheContent(t *testing.T) {
	content := ContentOf("GET", "/p", nil)
	crash := func(process int, account, host, service string) Crash {
		c := partCrash(process, FingerprintOf(account, host, "GET", "/p", nil), apart(process))
		c.AtService, c.AtHost = content.AtService(service), content.AtHost(host)
		return c
	}
	for _, c := range []struct {
		name    string
		crashes []Crash
		want    []Fingerprint
		not     []Fingerprint
	}{
		{"two accounts", []Crash{crash(0, "a", "h", "s"), crash(1, "b", "h", "s")},
			[]Fingerprint{content.AtService("s"), content.AtHost("h")}, []Fingerprint{content.AtService("s2"), content.AtHost("h2")}},
		{"two hosts of a service", []Crash{crash(0, "a", "h", "s"), crash(1, "b", "h2", "s")},
			[]Fingerprint{content.AtService("s")}, []Fingerprint{content.AtHost("h")}},
		{"a route that moved", []Crash{crash(0, "a", "h", "s"), crash(1, "b", "h", "s2")},
			[]Fingerprint{content.AtHost("h")}, []Fingerprint{content.AtService("s")}},
		{"two places", []Crash{crash(0, "a", "h", "s"), crash(1, "a", "h2", "s2")},
			nil, []Fingerprint{content.AtHost("h"), content.AtHost("h2"), content.AtService("s"), content.AtService("s2")}},
		{"a report of an earlier release", []Crash{crash(0, "a", "h", "s"), partCrash(1, FingerprintOf("a", "h", "GET", "/p", nil), apart(1))},
			[]Fingerprint{FingerprintOf("a", "h", "GET", "/p", nil)}, []Fingerprint{FingerprintOf("b", "h", "GET", "/p", nil)}},
	} {
		first, peer := NewTable(), NewTable()
		for _, crash := range c.crashes {
			first.Add(after(time.Second), crash)
		}
		for _, crash := range first.HeartbeatCrashes(after(time.Second)) {
			peer.Add(after(time.Second), crash)
		}
		for _, table := range []*Table{first, peer} {
			for _, f := range c.want {
				if _, ok := table.Quarantined()[f]; !ok {
					t.Errorf("%s: %s is not quarantined", c.name, f)
				}
			}
			for _, f := range c.not {
				if _, ok := table.Quarantined()[f]; ok {
					t.Errorf("%s: %s is quarantined", c.name, f)
				}
			}
		}
	}
}
