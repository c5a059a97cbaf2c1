package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

// rotatedAccount is the client account whose API keys are rotated.
const rotatedAccount = "changing"

// operator changes the configuration and records each change with its time.
type operator struct {
	cluster *cluster

	mu       sync.Mutex
	versions []configVersion
	keys     []string
	revoked  map[string]time.Time
	// issued are all keys of rotatedAccount so far, revoked ones included.
	issued    []string
	draining  map[string]time.Time
	evacuated map[string][]interval
}

// newOperator returns an operator that has written the first configuration.
func newOperator(s *cluster) *operator {
	o := &operator{cluster: s, revoked: map[string]time.Time{}, draining: map[string]time.Time{}, evacuated: map[string][]interval{}}
	o.issueKey()
	o.writeConfig(serviceStatus1)
	return o
}

// issueKey adds a key. The caller holds o.mu unless nothing else uses o yet.
func (o *operator) issueKey() {
	key := fmt.Sprintf("key-changing-%d", len(o.issued))
	o.issued = append(o.issued, key)
	o.keys = append(o.keys, key)
}

// writeConfig stores a new version of the configuration. The caller holds o.mu unless
// nothing else uses o yet.
func (o *operator) writeConfig(reroutedService string) {
	number := int64(1)
	if len(o.versions) > 0 {
		number = o.versions[len(o.versions)-1].number + 1
	}
	o.cluster.store.PutConfig(o.config(number, reroutedService))
	o.versions = append(o.versions, configVersion{number: number, at: time.Now(), service: reroutedService})
}

func (o *operator) config(number int64, reroutedService string) standin.Config {
	route := func(prefix, kind, service string, allowedRegions ...string) standin.Route {
		return standin.Route{
			Prefix: prefix, Kind: kind, Service: service, Attempts: 2, Timeout: routeTimeout, LatencyObjective: latencyObjective, AllowedRegions: allowedRegions,
		}
	}
	accounts := []standin.Account{
		{Name: "main", Keys: []string{mainKey}},
		{Name: "metered", Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedBurst},
		{Name: rotatedAccount, Keys: o.keys},
	}
	for i := range extraAccounts {
		accounts = append(accounts, standin.Account{Name: fmt.Sprint("extra-", i), Keys: []string{extraKey(i)}})
	}
	return standin.Config{
		Version: number,
		Routes: []standin.Route{
			route("/w/", standin.KindUnsafe, servicePlain),
			route("/r/", standin.KindSafe, servicePlain),
			route("/g/", standin.KindStream, serviceStream),
			route("/m/", standin.KindSafe, reroutedService),
			route("/b/", standin.KindUnsafe, servicePlain, allowedRegion),
		},
		Services: []string{servicePlain, serviceStream, serviceStatus1, serviceStatus2},
		Accounts: accounts,
	}
}

// randomKey returns a key of rotatedAccount, in most cases a valid one.
func (o *operator) randomKey(rng *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if rng.IntN(3) == 0 {
		return o.issued[rng.IntN(len(o.issued))]
	}
	return o.keys[rng.IntN(len(o.keys))]
}

// reroute switches the route of kindRerouted requests to the other service.
func (o *operator) reroute() {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := serviceStatus1
	if o.versions[len(o.versions)-1].service == serviceStatus1 {
		next = serviceStatus2
	}
	o.writeConfig(next)
}

// rotateKeys issues a key and revokes all others of the account.
func (o *operator) rotateKeys() {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.keys
	o.keys = nil
	o.issueKey()
	o.writeConfig(o.versions[len(o.versions)-1].service)
	for _, key := range old {
		o.revoked[key] = time.Now()
	}
}

// drainServer marks a server as draining in the store.
func (o *operator) drainServer(srv *server) {
	o.cluster.removeActive(srv)
	o.cluster.store.PutServer(srv.Config, srv.link.Address(), true)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining[srv.Config.ID] = time.Now()
}

// evacuate orders the evacuation of a failure domain and returns a function that cancels
// it. It reports false while any domain is evacuated.
func (o *operator) evacuate(domain string) (cancel func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, list := range o.evacuated {
		if len(list) > 0 && list[len(list)-1].to.IsZero() {
			return nil, false
		}
	}
	o.cluster.store.Evacuate(domain, true)
	o.evacuated[domain] = append(o.evacuated[domain], interval{from: time.Now()})
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		list := o.evacuated[domain]
		list[len(list)-1].to = time.Now()
		o.cluster.store.Evacuate(domain, false)
	}, true
}
