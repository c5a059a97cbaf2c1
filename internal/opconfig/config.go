// Package opconfig holds the operators' configuration: the client accounts, API keys,
// routes, models, version rollouts and drains that operators set with the
// morning sheet, a CSV file.
//
// The configuration is stored in the platform's key-value service as a log of deltas on
// top of sharded bases, and its revision only increases. It is separate from the settings
// of a process, which are read once at startup.
package opconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"time"
)

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Rate is the sustained limit across all instances, in units per second, see Unit.
	Rate float64 `json:"rate"`
	// Burst is the number of units allowed at once across all instances.
	Burst float64 `json:"burst"`
	// HomeRegion is the region that the account's data must not leave; empty if the
	// account is not bound to a region.
	HomeRegion string `json:"home,omitempty"`
	// Suspended accounts keep their keys but must not send requests.
	Suspended bool `json:"suspended,omitempty"`
	// Unit is the unit of Rate and Burst; empty for requests.
	Unit RateUnit `json:"unit,omitempty"`
	// DefaultTokens is the charge of a request without a token count if Unit is UnitTokens.
	DefaultTokens int64 `json:"plain_tokens,omitempty"`
	// AllowedRegions are the regions that may run the account's requests on host routes; empty
	// allows any region.
	AllowedRegions []string `json:"homes,omitempty"`
	// Priority overrides that of the host route if it is not nil; 0 is the highest.
	Priority *int `json:"priority,omitempty"`
}

// SameQuota reports whether the rates of a and b are divided over slots in the same
// way.
func (a Account) SameQuota(b Account) bool {
	return a.Name == b.Name && a.Rate == b.Rate && a.Burst == b.Burst && a.HomeRegion == b.HomeRegion
}

// RateUnit is the unit in which the rate of a client account is measured.
type RateUnit string

// UnitTokens measures the tokens of prompts and responses.
const UnitTokens RateUnit = "tokens"

// APIKey is the API key of a caller. Only the hash of the secret is stored.
type APIKey struct {
	// Hash is the hexadecimal SHA-256 of the secret.
	Hash    string `json:"hash"`
	ID      string `json:"id"`
	Account string `json:"account"`
	// Revoked marks a revoked key. It stays in the table so that a caller can be told
	// that the key was once valid.
	Revoked bool `json:"withdrawn,omitempty"`
}

// HashAPIKey returns the hash under which a key's secret is stored.
func HashAPIKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Model is a model that callers may request.
type Model struct {
	Name string `json:"name"`
	// Version receives the traffic that no rollout has taken over.
	Version string `json:"version,omitempty"`
}

// Route sends a path prefix to a plain service, which has no version rollouts.
type Route struct {
	// Prefix is matched at path segment boundaries; the longest prefix wins.
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Public routes require no API key.
	Public bool `json:"open,omitempty"`
	// Idempotent lists the methods whose requests may be retried on another upstream. All
	// other methods are writes and are sent at most once.
	Idempotent []string `json:"idempotent,omitempty"`
	// HomeRegion is the region that runs the route's writes; empty for any region.
	HomeRegion string `json:"home,omitempty"`
}

// Rollout is an order to roll out a version that takes over the traffic of a model. Only models
// are rolled out from this table. Validate also accepts a service, but such a record
// starts no rollout; service rollouts come from external.RolloutOrder.
type Rollout struct {
	// Target is the name of a model, without a version.
	Target   string    `json:"target"`
	Version  string    `json:"version"`
	Deadline time.Time `json:"deadline"`
}

// ID returns the identifier of the rollout, target@version, which is stable across revisions.
func (r Rollout) ID() string { return r.Target + "@" + r.Version }

// Drain marks an instance or upstream that is drained: it receives no new requests.
type Drain struct {
	Instance string    `json:"instance"`
	Since    time.Time `json:"since"`
}

// FailureDomain is a failure domain and the number of its slots, over which rates are divided,
// see package quota. The number should be at least that of its entry instances.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Slots  int    `json:"slots"`
}

// Config is one revision of the operators' configuration. It is immutable; Apply
// returns a new value.
type Config struct {
	Revision int64
	// Accounts is indexed by Account.Name.
	Accounts *Records[Account]
	// APIKeys is indexed by APIKey.Hash.
	APIKeys *Records[APIKey]
	Models  map[string]Model
	// Routes is indexed by Route.Prefix.
	Routes map[string]Route
	// Rollouts is indexed by Rollout.ID.
	Rollouts map[string]Rollout
	// Drains is indexed by Drain.Instance.
	Drains map[string]Drain
	// FailureDomains is indexed by FailureDomain.Name.
	FailureDomains map[string]FailureDomain
	// HostRoutes is indexed by HostRoute.ID.
	HostRoutes map[string]HostRoute
	// Services is indexed by Service.Name.
	Services map[string]Service
	// Limits holds at most the record LimitsID.
	Limits map[string]Limits
}

// New returns an empty configuration at revision 0.
func New() *Config {
	return &Config{
		Accounts:       NewRecords[Account](nil),
		APIKeys:        NewRecords[APIKey](nil),
		Models:         map[string]Model{},
		Routes:         map[string]Route{},
		Rollouts:       map[string]Rollout{},
		Drains:         map[string]Drain{},
		FailureDomains: map[string]FailureDomain{},

		HostRoutes: map[string]HostRoute{},
		Services:   map[string]Service{},
		Limits:     map[string]Limits{},
	}
}

// clone returns a copy that can be modified. Tables that are maps have few records and
// are copied as a whole; the two large tables share their nodes with the copy.
func (c *Config) clone() *Config {
	return &Config{
		Revision:       c.Revision,
		Accounts:       c.Accounts.clone(),
		APIKeys:        c.APIKeys.clone(),
		Models:         maps.Clone(c.Models),
		Routes:         maps.Clone(c.Routes),
		Rollouts:       maps.Clone(c.Rollouts),
		Drains:         maps.Clone(c.Drains),
		FailureDomains: maps.Clone(c.FailureDomains),

		HostRoutes: maps.Clone(c.HostRoutes),
		Services:   maps.Clone(c.Services),
		Limits:     maps.Clone(c.Limits),
	}
}
