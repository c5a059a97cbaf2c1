// Package settings reads the INI settings file of a process, once at startup. The operators'
// configuration is separate; see package opconfig.
//
// Each key has a field in the type of its section, an entry in the table in keys.go and a
// description in docs/settings.md. Tests fail if one of them is missing.
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
	Duties    Duties
	Process   Process
}

// Instance is the section [instance].
type Instance struct {
	// ID identifies the instance in logs, status and the instance list. Required; it must be
	// unique among all instances.
	ID string
	// Region is the region that the instance serves. Required; routing and home
	// regions of client accounts refer to it.
	Region string
	// FailureDomain is the part of the region that can fail as a unit. Required.
	FailureDomain string
}

// Listeners is the section [listeners]. An address consists of an IP address and a port; port 0
// selects a free port. The addresses must differ from each other. 0.0.0.0 and :: are not allowed,
// because the addresses are announced to other instances.
type Listeners struct {
	// Caller is the listen address of the caller API. Required.
	Caller string
	// Peer is the listen address for other entry instances. Required.
	Peer string
	// Operator is the listen address for status, drain and metrics. Required.
	Operator string
	// Entries is the listen address at which callers look up entry instances. Required with the
	// protocol metadata, unused with others.
	Entries string
	// Ready is the listen address of the readiness check. Required with the protocol metadata,
	// unused with others.
	Ready string
	// AdvertisePeer and AdvertiseCaller are the addresses announced to other instances and
	// callers, if they reach the listeners through a forwarder. They default to the addresses of
	// the listeners.
	AdvertisePeer   string
	AdvertiseCaller string
}

// Protocols of the platform.
const (
	// ProtocolEtcd is the JSON gateway of etcd together with a separate instance list.
	ProtocolEtcd = "etcd"
	// ProtocolMetadata is a metadata store that also contains the rows of all upstreams. With it,
	// the caller listener serves the host routes of the configuration in the store.
	ProtocolMetadata = "metadata"
)

// Platform is the section [platform].
type Platform struct {
	// Protocol is the protocol of the key-value service. Default etcd.
	Protocol string
	// Domains maps failure domains to their regions. Required with the protocol metadata,
	// whose rows contain failure domains but no regions.
	Domains map[string]string
	// Store is the base URL of the key-value service, http or https without a path.
	// Required.
	Store string
	// Instances is the URL of the instance list, http or https. Required with the protocol
	// etcd.
	Instances string
	// Directory is the base URL of the client directory, http or https without a
	// path. Default none: every configured client account is then active.
	Directory string
	// Weights is the base URL of the weight store, http or https without a path.
	// Default none: only a fixed rate then limits the loading of weights.
	Weights string
	// MaxIsolation is the time without contact to the key-value service and to peers
	// outside the region after which requests with API keys are rejected. Default 90m,
	// from 1s to 24h. With StrictIsolation, control.Identity.EffectiveMaxIsolation is 80 %
	// of it.
	MaxIsolation time.Duration
	// StrictIsolation makes MaxIsolation a bound on the age of the configuration: only the
	// confirmation that it is the latest counts, contact with peers does not. Default false.
	StrictIsolation bool
}

// Peer is the section [peer].
type Peer struct {
	// Secret authenticates entry instances to each other and is the same for all of them.
	// Required, at least 16 characters. It is never printed.
	Secret string
	// Seeds are the peer addresses to which the instance announces itself at startup. Default
	// none: the instance then learns of its peers only from their heartbeats.
	Seeds []string
}

// Shutdown is the section [shutdown].
type Shutdown struct {
	// Timeout bounds the whole drain and shutdown, including ServeFor. Requests that still run
	// shortly before are interrupted and answered. Default 10m, from 1s to 1h.
	Timeout time.Duration
	// ServeFor is how long a draining instance still admits requests that can end in time. Default 7s, which is
	// the validity of a list of entry instances plus two heartbeat intervals; from 0s to 1m.
	ServeFor time.Duration
}

// Bounds is the section [bounds]: limits that all instances together must keep on host routes.
type Bounds struct {
	// QuotaSlack is the amount by which a client account may exceed its rate and burst within a
	// window, in units of the rate. Default 0.
	QuotaSlack float64
	// RetryShare and RetrySlack bound the retries to a service within 10 s to the fraction
	// RetryShare of its requests plus RetrySlack. Defaults 0.1 and 16.
	RetryShare float64
	RetrySlack float64
	// ColdExcess and ColdSlack bound the requests per second to a cold upstream to its cold rate
	// limit times ColdExcess plus ColdSlack. Defaults 1 and 0.
	ColdExcess float64
	ColdSlack  float64
	// CanaryShare is the maximum fraction of a service's requests that a candidate version may
	// get before it has proven to be good. Default 0.1.
	CanaryShare float64
}

// Duties is the section [duties]: calls to the platform that one instance makes at a time.
type Duties struct {
	// API is the base URL of the platform's API for them, http or https without a path. Default none:
	// no instance then makes such calls.
	API string
	// Names are the duties that the API accepts, see external.Duty. Default none.
	Names []string
	// Rate is the number of calls a second that the API accepts from all instances. Default 50.
	Rate float64
	// Lease is the time for which a former holder may still act, and for which a new one makes no
	// call. Default 3s, from 1s to 1m.
	Lease time.Duration
	// UsageWindow is the length of a window of usage. Default 5s, from 1s to 1h.
	UsageWindow time.Duration
	// UsageDue is the time after the end of a window by which its usage is due. Default 10s, from 3s
	// to 1h.
	UsageDue time.Duration
}

// Process is the section [process].
type Process struct {
	// MemoryMB is the memory limit that the platform sets for the process. Default 0, which sets
	// no limit for the Go runtime.
	MemoryMB float64
	// RequestMemoryMB is the memory for requests that arrive or are at work: connections, heads and bodies. Default
	// 0, which takes seven tenths of what MemoryMB exceeds 60 MB by, at least a quarter of it, or 256 MB without one.
	RequestMemoryMB float64
	// MaxDescriptors is the number of file descriptors that the process may open. Default 0, which takes the limit that
	// the operating system has set.
	MaxDescriptors float64
}

// Operator is the section [operator].
type Operator struct {
	// Token is the credential for the operator listener, at least 16 characters.
	// Default none: all requests that need the token are then rejected.
	Token string
}

// Log is the section [log].
type Log struct {
	// Level is the lowest severity that is logged: error, warning, info or debug.
	// Default info.
	Level string
}

// TLS is the section [tls]. Either all keys or none must be set; without them, the
// listeners do not use TLS. The files are reloaded when they change.
type TLS struct {
	// Cert is the path of the certificate, which must be valid for the address of each listener.
	Cert string
	// Key is the path of the private key of the certificate.
	Key string
	// CA is the path of the CA certificates that the certificates of peers must chain to.
	CA string
}

// Enabled reports whether the listeners use TLS.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Policy is the section [policy].
type Policy struct {
	// Name is the routing policy. Default "default"; the others are baselines.
	Name string
	// Preset provides the weights that no other key of the section sets: derwent favors
	// tail latency and the worst-served client account, guild favors cost. Default derwent.
	Preset string
	// PrefillWeight is the factor for the prefill tokens of a request, the prompt tokens that
	// are not cached.
	PrefillWeight float64
	// SpillRatio is the ratio of the cost of this region to that of another above which a
	// request is sent to the other region.
	SpillRatio float64
	// LinkMbit is the bandwidth to other regions in Mbit/s.
	LinkMbit float64
}

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// Weights returns the weights of the preset, overridden by the other keys. A key that is 0
// keeps the value of the preset.
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

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line starts at 1; 0 if the file could not be read.
	Line int
	// Key is section.key; empty if the problem does not concern a single key.
	Key string
	// Message states what is wrong and what is allowed. It never contains a secret.
	Message string
}

// String formats the problem as file:line: key: message and omits unknown parts.
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
