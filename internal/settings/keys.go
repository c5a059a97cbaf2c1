package settings

import (
	"strings"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/routing"
)

// required marks a key that has no default and must be set.
const required = "required"

const (
	minShutdownTimeout = time.Second
	maxShutdownTimeout = time.Hour
	minIsolation       = time.Second
	maxIsolation       = 24 * time.Hour
	maxPolicyWeight    = 100
	maxLinkMbit        = 1e6
	maxServeFor        = time.Minute
	maxBound           = 1e12
	minDutyLease       = time.Second
	maxDutyLease       = time.Minute
	minUsageWindow     = time.Second
	minUsageDue        = 3 * time.Second
	maxUsageTime       = time.Hour
	maxDutyRate        = 1e6
	// minRequestMemoryMB holds one body of the largest size and a copy of it.
	minRequestMemoryMB = 20
	minDescriptors     = 64
)

// key is one key of the settings file.
type key struct {
	// name is section.key.
	name string
	// defaultText is the default as it would be written in the file, or required.
	defaultText string
	// field parses the text of a value and stores it in a field of Settings.
	field field
}

// section returns the part of the name before the dot.
func (k key) section() string {
	section, _, _ := strings.Cut(k.name, ".")
	return section
}

// requiredBy lists, for each platform protocol, the keys that only this protocol requires.
var requiredBy = map[string][]string{
	ProtocolEtcd:     {"platform.instances"},
	ProtocolMetadata: {"listeners.entries", "listeners.ready", "platform.domains"},
}

// keys are all keys of the settings file in the order of docs/settings.md.
var keys = []key{
	{"instance.id", required, bind(identifier, func(s *Settings) *string { return &s.Instance.ID })},
	{"instance.region", required, bind(identifier, func(s *Settings) *string { return &s.Instance.Region })},
	{"instance.failure_domain", required, bind(identifier, func(s *Settings) *string { return &s.Instance.FailureDomain })},
	{"listeners.caller", required, bind(address, func(s *Settings) *string { return &s.Listeners.Caller })},
	{"listeners.peer", required, bind(address, func(s *Settings) *string { return &s.Listeners.Peer })},
	{"listeners.operator", required, bind(address, func(s *Settings) *string { return &s.Listeners.Operator })},
	{"listeners.entries", "", bind(optional(address), func(s *Settings) *string { return &s.Listeners.Entries })},
	{"listeners.ready", "", bind(optional(address), func(s *Settings) *string { return &s.Listeners.Ready })},
	{"listeners.advertise_peer", "", bind(optional(address), func(s *Settings) *string { return &s.Listeners.AdvertisePeer })},
	{"listeners.advertise_caller", "", bind(optional(address), func(s *Settings) *string { return &s.Listeners.AdvertiseCaller })},
	{"platform.protocol", ProtocolEtcd, bind(oneOf(ProtocolEtcd, ProtocolMetadata), func(s *Settings) *string { return &s.Platform.Protocol })},
	{"platform.domains", "", bind(namePairs, func(s *Settings) *map[string]string { return &s.Platform.Domains })},
	{"platform.store", required, bind(ParseBaseURL, func(s *Settings) *string { return &s.Platform.Store })},
	{"platform.instances", "", bind(optional(httpURL), func(s *Settings) *string { return &s.Platform.Instances })},
	{"platform.directory", "", bind(optional(ParseBaseURL), func(s *Settings) *string { return &s.Platform.Directory })},
	{"platform.weights", "", bind(optional(ParseBaseURL), func(s *Settings) *string { return &s.Platform.Weights })},
	{"platform.max_isolation", "90m", bind(duration(minIsolation, maxIsolation), func(s *Settings) *time.Duration { return &s.Platform.MaxIsolation })},
	{"platform.strict_isolation", "false", bind(boolean, func(s *Settings) *bool { return &s.Platform.StrictIsolation })},
	{"peer.secret", required, bind(secret, func(s *Settings) *string { return &s.Peer.Secret })},
	{"peer.seeds", "", bind(listOf(address), func(s *Settings) *[]string { return &s.Peer.Seeds })},
	{"operator.token", "", bind(optional(secret), func(s *Settings) *string { return &s.Operator.Token })},
	{"log.level", "info", bind(oneOf("error", "warning", "info", "debug"), func(s *Settings) *string { return &s.Log.Level })},
	{"tls.cert", "", bind(anyText, func(s *Settings) *string { return &s.TLS.Cert })},
	{"tls.key", "", bind(anyText, func(s *Settings) *string { return &s.TLS.Key })},
	{"tls.ca", "", bind(anyText, func(s *Settings) *string { return &s.TLS.CA })},
	{"shutdown.timeout", "10m", bind(duration(minShutdownTimeout, maxShutdownTimeout), func(s *Settings) *time.Duration { return &s.Shutdown.Timeout })},
	{"shutdown.serve_for", "7s", bind(duration(0, maxServeFor), func(s *Settings) *time.Duration { return &s.Shutdown.ServeFor })},
	{"bounds.quota_slack", "0", bind(number(0, maxBound), func(s *Settings) *float64 { return &s.Bounds.QuotaSlack })},
	{"bounds.retry_share", "0.1", bind(number(0, 1), func(s *Settings) *float64 { return &s.Bounds.RetryShare })},
	{"bounds.retry_slack", "16", bind(number(0, maxBound), func(s *Settings) *float64 { return &s.Bounds.RetrySlack })},
	{"bounds.cold_excess", "1", bind(number(0, maxBound), func(s *Settings) *float64 { return &s.Bounds.ColdExcess })},
	{"bounds.cold_slack", "0", bind(number(0, maxBound), func(s *Settings) *float64 { return &s.Bounds.ColdSlack })},
	{"bounds.canary_share", "0.1", bind(number(0, 1), func(s *Settings) *float64 { return &s.Bounds.CanaryShare })},
	{"duties.api", "", bind(optional(ParseBaseURL), func(s *Settings) *string { return &s.Duties.API })},
	{"duties.names", "", bind(listOf(oneOf(string(external.DutyUsageReport), string(external.DutyAutoscaler))), func(s *Settings) *[]string { return &s.Duties.Names })},
	{"duties.rate", "50", bind(number(0, maxDutyRate), func(s *Settings) *float64 { return &s.Duties.Rate })},
	{"duties.lease", "3s", bind(duration(minDutyLease, maxDutyLease), func(s *Settings) *time.Duration { return &s.Duties.Lease })},
	{"duties.usage_window", "5s", bind(duration(minUsageWindow, maxUsageTime), func(s *Settings) *time.Duration { return &s.Duties.UsageWindow })},
	{"duties.usage_due", "10s", bind(duration(minUsageDue, maxUsageTime), func(s *Settings) *time.Duration { return &s.Duties.UsageDue })},
	{"process.memory_mb", "0", bind(number(0, maxBound), func(s *Settings) *float64 { return &s.Process.MemoryMB })},
	{"process.request_memory_mb", "0", bind(zeroOr(number(minRequestMemoryMB, maxBound)), func(s *Settings) *float64 { return &s.Process.RequestMemoryMB })},
	{"process.max_descriptors", "0", bind(zeroOr(number(minDescriptors, maxBound)), func(s *Settings) *float64 { return &s.Process.MaxDescriptors })},
	{"policy.name", routing.NameDefault, bind(oneOf(routing.PolicyNames()...), func(s *Settings) *string { return &s.Policy.Name })},
	{"policy.preset", routing.PresetDerwent, bind(oneOf(routing.PresetDerwent, routing.PresetGuild), func(s *Settings) *string { return &s.Policy.Preset })},
	{"policy.prefill_weight", "0", bind(number(0, maxPolicyWeight), func(s *Settings) *float64 { return &s.Policy.PrefillWeight })},
	{"policy.spill_ratio", "0", bind(number(0, maxPolicyWeight), func(s *Settings) *float64 { return &s.Policy.SpillRatio })},
	{"policy.link_mbit", "0", bind(number(0, maxLinkMbit), func(s *Settings) *float64 { return &s.Policy.LinkMbit })},
}
