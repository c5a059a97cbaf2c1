package opconfig

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"reflect"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a base that loses or alters records, and against shards that are too
// large for the store.
func TestBaseKeepsEveryRecord(t *testing.T) {
	config := fullConfig(testAccounts)
	config.Models["lantern"] = Model{Name: "lantern", Version: "<2&>"}
	config.Routes["/orders"] = Route{Prefix: "/orders", Service: "ledger", Idempotent: []string{"GET"}}
	config.Rollouts["lantern@3"] = Rollout{Target: "lantern", Version: "3", Deadline: time.Unix(1e9, 0).UTC()}
	config.Drains["engine-1"] = Drain{Instance: "engine-1", Since: time.Unix(2e9, 0).UTC()}
	config.FailureDomains["hobart-1"] = FailureDomain{Name: "hobart-1", Region: "hobart", Slots: 8}
	config.HostRoutes["a.example/x/"] = HostRoute{Host: "a.example", Prefix: "/x/", Services: []WeightedService{{"ledger", 1}}, Timeout: time.Second}
	config.Services["ledger"] = Service{Name: "ledger", MaxConns: 110, ColdFor: time.Second, ColdRateLimit: 2.5}
	config.Limits[LimitsID] = Limits{HeaderBytes: 1 << 14, IdleTimeout: time.Second}
	base := must(config.EncodeBase())
	for i, shard := range base.Shards {
		if len(shard) > MaxShardBytes {
			t.Errorf("shard %d has %d bytes", i, len(shard))
		}
	}
	decoded := must(DecodeBase(base))
	want, got := reflect.ValueOf(*config), reflect.ValueOf(*decoded)
	for i := range want.NumField() {
		if field := want.Field(i); field.Kind() == reflect.Map && (field.Len() == 0 || !reflect.DeepEqual(field.Interface(), got.Field(i).Interface())) {
			t.Errorf("table %s is %v after decoding; want %v, not empty", want.Type().Field(i).Name, got.Field(i), field)
		}
	}
	if again := must(decoded.EncodeBase()); !reflect.DeepEqual(base, again) {
		t.Error("the decoded base has a different encoding")
	}
}

// Guards against accepting a base that was truncated, altered or reordered.
func TestDecodeBaseRejectsDamage(t *testing.T) {
	corruptions := map[string]func(*Base){
		"altered byte":     func(b *Base) { b.Shards[0] = bytes.Replace(b.Shards[0], []byte("12.5"), []byte("92.5"), 1) },
		"missing shard":    func(b *Base) { b.Shards = b.Shards[1:] },
		"exchanged shards": func(b *Base) { b.Shards[0], b.Shards[1] = b.Shards[1], b.Shards[0] },
		"wrong count":      func(b *Base) { b.Manifest.Records-- },
	}
	for name, corrupt := range corruptions {
		base := must(fullConfig(testAccounts).EncodeBase())
		corrupt(&base)
		if _, err := DecodeBase(base); err == nil {
			t.Errorf("%s: the base was accepted", name)
		}
	}
}

// Guards against a delta that modifies the configuration to which it is applied, which
// requests read concurrently, and against a wrong result. Run with -race.
func TestApplyLeavesTheReceiverUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := map[string]Account{}
		config := New()
		for range rapid.IntRange(1, 40).Draw(t, "deltas") {
			before, next := config, maps.Clone(model)
			delta := Delta{Revision: config.Revision + 1, Changes: generateChanges(t, next)}
			var readers sync.WaitGroup
			readers.Go(func() { expectAccounts(t, before, model) })
			readers.Go(func() { _, _ = before.Apply(delta) })
			config = must(before.Apply(delta))
			readers.Wait()
			expectAccounts(t, before, model)
			expectAccounts(t, config, next)
			model = next
		}
	})
}

func generateChanges(t *rapid.T, model map[string]Account) []Change {
	var changes []Change
	for range rapid.IntRange(1, 30).Draw(t, "changes") {
		id := fmt.Sprint("a", rapid.IntRange(0, 300).Draw(t, "id"))
		if rapid.Bool().Draw(t, "remove") {
			delete(model, id)
			changes = append(changes, Remove(TableAccounts, id))
			continue
		}
		model[id] = Account{Name: id, Rate: float64(rapid.IntRange(0, 9).Draw(t, "rate"))}
		changes = append(changes, must(Set(TableAccounts, id, model[id])))
	}
	return changes
}

func expectAccounts(t *rapid.T, c *Config, want map[string]Account) {
	got := maps.Collect(c.Accounts.All())
	if !reflect.DeepEqual(got, want) || c.Accounts.Len() != len(want) {
		t.Errorf("accounts at revision %d are %v, want %v", c.Revision, got, want)
	}
}

// Guards against accepting records that the gateway cannot use.
func TestValidateNamesEveryFault(t *testing.T) {
	config := New()
	config.Accounts = NewRecords(map[string]Account{"a": {Name: "b"}, "c": {Name: "c", Rate: math.NaN(), Burst: math.Inf(1)}})
	hash := HashAPIKey("secret")
	config.APIKeys = NewRecords(map[string]APIKey{hash: {Hash: hash, ID: "k", Account: "gone"}, "short": {Hash: "short", ID: "k", Account: "c"}})
	config.Routes["/x/"] = Route{Prefix: "/x/", Service: "ledger"}
	config.Rollouts["m@1"] = Rollout{Target: "m", Version: "1", Deadline: time.Unix(1, 0)}
	got := ""
	for _, validationErr := range config.Validate() {
		got += string(validationErr.Table) + " " + validationErr.ID + ","
	}
	if want := "accounts a,accounts c,accounts c,keys " + hash + ",keys short,routes /x/,moves m@1,"; got != want {
		t.Errorf("validation errors are %v, want %v", got, want)
	}
}

// must returns v and panics on an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against a base without the failure domains: instances that start from it would
// reject every request with an API key.
func TestBaseHoldsTheDomains(t *testing.T) {
	config := New()
	config.FailureDomains["hobart-1"] = FailureDomain{Name: "hobart-1", Region: "hobart", Slots: 4}
	base, err := config.EncodeBase()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeBase(base)
	if err != nil || got.FailureDomains["hobart-1"] != config.FailureDomains["hobart-1"] {
		t.Errorf("the domains are %v, error %v", got.FailureDomains, err)
	}
}
