// Package settings reads the INI settings of one process. They are read once at
// start-up; the operators' configuration is separate, see package opconfig.
//
// A key is a field of its section's type and one line of the table in keys.go, and
// docs/settings.md describes it; tests fail if one of the three is missing.
package settings

import (
	"fmt"
	"strings"
	"time"

	"heatherloom/internal/routing"
)

// Settings are the settings of an entry instance.
type Settings struct {
	Instance  Instance
	Listeners Listeners
	Platform  Platform
	Peer      Peer
	Operator  Operator
	Log       Log
	TLS       TLS
	Shutdown  Shutdown
	Policy    Policy
	Bounds    Bounds
	Process   Process
}

// Instance is the section [instance].
type Instance struct {
	// ID names the instance in logs, status and the instance list. Required; it is
	// unique among all instances.
	ID string
	// Region is the region that the instance serves. Required; routing and home
	// regions of client accounts refer to it.
	Region string
	// FailureDomain is the part of the region that fails as one. Required.
	FailureDomain string
}

// Listeners is the section [listeners]. Addresses are an IP number and a port; port
// 0 takes a free one. They are announced to other instances, so that 0.0.0.0 and ::
// are not allowed, and they differ from each other.
type Listeners struct {
	// Caller is the address of the caller API. Required.
	Caller string
	// Peer is the address for other entry instances. Required.
	Peer string
	// Operator is the address of status, drain and metrics. Required.
	Operator string
	// Entries is the address at which callers ask which entry instances to use, and Ready
	// that of the readiness check. Required with the protocol metadata, unused with others.
	Entries string
	Ready   string
	// AdvertisePeer and AdvertiseCaller are the addresses that other instances and
	// callers are told to use, where something between forwards to the listeners.
	// Default the listeners' own.
	AdvertisePeer   string
	AdvertiseCaller string
}

// Protocols of the platform.
const (
	// ProtocolEtcd is the JSON gateway of etcd, with an instance list of its own.
	ProtocolEtcd = "etcd"
	// ProtocolMetadata is a metadata store that also holds the rows of all upstreams. The
	// caller listener then serves the host routes of its configuration.
	ProtocolMetadata = "metadata"
)

// Platform is the section [platform].
type Platform struct {
	// Protocol is that of the key-value service. Default etcd.
	Protocol string
	// Domains maps failure domains to their regions. Required with the protocol metadata,
	// whose rows name failure domains only.
	Domains map[string]string
	// Store is the base URL of the key-value service, http or https without a path.
	// Required.
	Store string
	// Instances is the URL of the instance list, http or https. Required with the protocol
	// etcd.
	Instances string
	// Directory is the base URL of the client directory, http or https without a
	// path. Default none, with which every configured client account is active.
	Directory string
	// Weights is the base URL of the weight store, http or https without a path.
	// Default none, with which loads are spread out by a fixed rate alone.
	Weights string
	// MaxIsolation is the time without the key-value service and without peers
	// outside the region after which requests with keys are refused. Default 90m,
	// from 1s to 24h.
	MaxIsolation time.Duration
	// StrictIsolation makes MaxIsolation a bound on the age of the configuration: only its
	// confirmation as the latest one counts, and not the contact with peers. Default false.
	StrictIsolation bool
}

// Peer is the section [peer].
type Peer struct {
	// Secret authenticates entry instances to each other; all of them have the same.
	// Required, at least 16 characters. It is never printed.
	Secret string
	// Seeds are the peer addresses to announce to at start-up. Default none, with
	// which the instance learns its peers from their heartbeats alone.
	Seeds []string
}

// Shutdown is the section [shutdown].
type Shutdown struct {
	// Timeout bounds the wait for running requests after a signal. Default 10m, from
	// 1s to 1h; requests that still run then are cut.
	Timeout time.Duration
	// ServeFor is how long a draining instance still serves new requests. Default 7s: the
	// validity of a list of entry instances and two heartbeats. From 0s to 1m.
	ServeFor time.Duration
}

// Bounds is the section [bounds]: what all instances together must keep on host routes.
type Bounds struct {
	// QuotaSlack is what a client account may exceed its rate and burst by in a window, in
	// units of the rate. Default 0.
	QuotaSlack float64
	// RetryShare and RetrySlack bound the retries to a service in 10 s: that share of its
	// requests, and so many more. Defaults 0.1 and 16.
	RetryShare float64
	RetrySlack float64
	// ColdExcess and ColdSlack bound the requests in a second to a cold upstream: its rate
	// times ColdExcess, and ColdSlack more. Defaults 1 and 0.
	ColdExcess float64
	ColdSlack  float64
	// CanaryShare is the part of a service's requests that a version may get before it is
	// known to be good. Default 0.1.
	CanaryShare float64
}

// Process is the section [process].
type Process struct {
	// MemoryMB is the memory that the platform grants the process. Default 0, with which
	// the runtime has no limit.
	MemoryMB float64
}

// Operator is the section [operator].
type Operator struct {
	// Token is the credential of the operator listener, at least 16 characters.
	// Default none, with which every service that demands it is refused.
	Token string
}

// Log is the section [log].
type Log struct {
	// Level is the least severe level that is logged: error, warning, info or debug.
	// Default info.
	Level string
}

// TLS is the section [tls]. Either all keys or none are set; without them, the
// listeners do not use TLS. The files are read again when they change.
type TLS struct {
	// Cert is the file of the certificate, for the address of each listener.
	Cert string
	// Key is the file of its private key.
	Key string
	// CA is the file of the certificates that peers must descend from.
	CA string
}

// Enabled reports whether the listeners use TLS.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Policy is the section [policy].
type Policy struct {
	// Name is the routing policy. Default "default"; the others are baselines.
	Name string
	// Preset gives the weights that no other key of the section sets: derwent weights
	// tail latency and the worst-served client account, guild cost. Default derwent.
	Preset string
	// PrefillWeight multiplies the prompt tokens that a request has to compute itself.
	PrefillWeight float64
	// SpillRatio is how many times the cost of another region the cost of this one has
	// to be before a request is sent away.
	SpillRatio float64
	// LinkMbit is the bandwidth to other regions in Mbit/s.
	LinkMbit float64
}

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// Weights returns the weights of the preset with the changes of the other keys. A key
// at 0 keeps the value of the preset.
func (p Policy) Weights() routing.Weights {
	w := routing.PresetWeights(p.Preset)
	if p.PrefillWeight > 0 {
		w.PrefillFactor = p.PrefillWeight
	}
	if p.SpillRatio > 0 {
		w.SpillRatio = p.SpillRatio
	}
	if p.LinkMbit > 0 {
		w.LinkBytesPerSecond = p.LinkMbit * bytesPerMbit
	}
	return w
}

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Line starts at 1; 0 if the file could not be read.
	Line int
	// Key is section.key; empty if the fault is not about one key.
	Key string
	// Message says what is wrong and what is allowed. It never contains a secret.
	Message string
}

// String formats the problem as file:line: key: message, without the parts that are
// not known.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}
