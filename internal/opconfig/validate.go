package opconfig

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// ValidationError is one validation error of a configuration.
type ValidationError struct {
	Table Table
	// ID is the index of the record in its table.
	ID      string
	Message string
}

// Error implements error.
func (e ValidationError) Error() string { return fmt.Sprintf("%s %q: %s", e.Table, e.ID, e.Message) }

// Validate returns all validation errors of the configuration, ordered by table and id.
// A configuration with validation errors must not be accepted.
func (c *Config) Validate() []ValidationError {
	v := &validator{config: c}
	for id, a := range c.Accounts.All() {
		v.account(id, a)
	}
	for id, k := range c.APIKeys.All() {
		v.key(id, k)
	}
	for id, m := range sorted(c.Models) {
		v.check(m.Name == id && id != "", TableModels, id, "the name must equal the index and not be empty")
	}
	for id, r := range sorted(c.Routes) {
		v.route(id, r)
	}
	for id, r := range sorted(c.Rollouts) {
		v.rollout(id, r)
	}
	for id, d := range sorted(c.Drains) {
		v.check(d.Instance == id && id != "", TableDrains, id, "the instance must equal the index and not be empty")
	}
	return v.errs
}

type validator struct {
	config *Config
	errs   []ValidationError
}

func (v *validator) check(ok bool, table Table, id, message string) {
	if !ok {
		v.errs = append(v.errs, ValidationError{Table: table, ID: id, Message: message})
	}
}

func (v *validator) account(id string, a Account) {
	v.check(a.Name == id && id != "", TableAccounts, id, "the name must equal the index and not be empty")
	v.check(finiteNonNegative(a.Rate), TableAccounts, id, "the rate must be a finite number of requests per second, at least 0")
	v.check(finiteNonNegative(a.Burst), TableAccounts, id, "the burst must be a finite number of requests, at least 0")
}

// finiteNonNegative reports whether x is neither negative, infinite nor NaN.
func finiteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// hexHashLength is the length of a hexadecimal SHA-256.
const hexHashLength = 64

func (v *validator) key(id string, k APIKey) {
	v.check(k.Hash == id && len(id) == hexHashLength, TableAPIKeys, id, "the hash must equal the index and be a hexadecimal SHA-256")
	v.check(k.ID != "", TableAPIKeys, id, "the key needs an id")
	_, ok := v.config.Accounts.Get(k.Account)
	v.check(ok, TableAPIKeys, id, fmt.Sprintf("the client account %q does not exist", k.Account))
}

func (v *validator) route(id string, r Route) {
	wellFormed := strings.HasPrefix(id, "/") && (id == "/" || !strings.HasSuffix(id, "/"))
	v.check(r.Prefix == id && wellFormed, TableRoutes, id, "the prefix must equal the index, start with / and not end with /")
	v.check(r.Service != "", TableRoutes, id, "the route needs a service")
}

func (v *validator) rollout(id string, r Rollout) {
	v.check(r.ID() == id, TableRollouts, id, "the target and version must equal the index")
	v.check(r.Target != "" && r.Version != "", TableRollouts, id, "the rollout needs a target and a version")
	v.check(!r.Deadline.IsZero(), TableRollouts, id, "the rollout needs a deadline")
	v.check(v.targetExists(r.Target), TableRollouts, id, fmt.Sprintf("no model or service %q exists", r.Target))
}

func (v *validator) targetExists(target string) bool {
	if _, ok := v.config.Models[target]; ok {
		return true
	}
	for _, r := range v.config.Routes {
		if r.Service == target {
			return true
		}
	}
	return false
}

// Validate returns an error if the delta does not directly follow c or if the resulting
// configuration has validation errors that c does not have.
func (d Delta) Validate(c *Config) error {
	next, err := c.Apply(d)
	if err != nil {
		return err
	}
	before := c.Validate()
	for _, validationErr := range next.Validate() {
		if !slices.Contains(before, validationErr) {
			return validationErr
		}
	}
	return nil
}
