package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

// changingAccount is the client account whose keys come and go.
const changingAccount = "changing"

// operators change the configuration, and remember what they did and when.
type operators struct {
	site *site

	mu       sync.Mutex
	versions []version
	keys     []string
	revoked  map[string]time.Time
	// issued are all keys of changingAccount so far.
	issued    []string
	leaving   map[string]time.Time
	evacuated map[string][]span
}

// newOperators writes the first configuration.
func newOperators(s *site) *operators {
	o := &operators{site: s, revoked: map[string]time.Time{}, leaving: map[string]time.Time{}, evacuated: map[string][]span{}}
	o.issue()
	o.write(serviceFirst)
	return o
}

// issue adds a key. o.mu is held, or nothing else uses o yet.
func (o *operators) issue() {
	key := fmt.Sprintf("key-changing-%d", len(o.issued))
	o.issued = append(o.issued, key)
	o.keys = append(o.keys, key)
}

// write puts a new version of the configuration into force. o.mu is held, or nothing else
// uses o yet.
func (o *operators) write(moving string) {
	number := int64(1)
	if len(o.versions) > 0 {
		number = o.versions[len(o.versions)-1].number + 1
	}
	o.site.store.PutConfig(o.config(number, moving))
	o.versions = append(o.versions, version{number: number, at: time.Now(), service: moving})
}

func (o *operators) config(number int64, moving string) standin.Config {
	route := func(prefix, kind, service string, homes ...string) standin.Route {
		return standin.Route{
			Prefix: prefix, Kind: kind, Service: service, Attempts: 2, Timeout: routeTimeout, Objective: objective, Homes: homes,
		}
	}
	return standin.Config{
		Version: number,
		Routes: []standin.Route{
			route("/w/", standin.KindUnsafe, servicePlain),
			route("/r/", standin.KindSafe, servicePlain),
			route("/g/", standin.KindStream, serviceStream),
			route("/m/", standin.KindSafe, moving),
			route("/b/", standin.KindUnsafe, servicePlain, boundRegion),
		},
		Services: []string{servicePlain, serviceStream, serviceFirst, serviceSecond},
		Accounts: []standin.Account{
			{Name: "main", Keys: []string{mainKey}},
			{Name: "metered", Keys: []string{meteredKey}, Rate: meteredRate, Burst: meteredBurst},
			{Name: changingAccount, Keys: o.keys},
		},
	}
}

// someKey returns a key of changingAccount, mostly one that is valid.
func (o *operators) someKey(rng *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if rng.IntN(3) == 0 {
		return o.issued[rng.IntN(len(o.issued))]
	}
	return o.keys[rng.IntN(len(o.keys))]
}

// move sends the requests of the moving route to the other service.
func (o *operators) move() {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := serviceFirst
	if o.versions[len(o.versions)-1].service == serviceFirst {
		next = serviceSecond
	}
	o.write(next)
}

// replaceKeys issues a key and takes away all others of the account.
func (o *operators) replaceKeys() {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.keys
	o.keys = nil
	o.issue()
	o.write(o.versions[len(o.versions)-1].service)
	for _, key := range old {
		o.revoked[key] = time.Now()
	}
}

// announceLeaving writes that a server leaves.
func (o *operators) announceLeaving(one *server) {
	o.site.leave(one)
	o.site.store.PutServer(one.Plan, one.link.Address(), true)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[one.Plan.ID] = time.Now()
}

// evacuate orders the evacuation of a failure domain and returns how to take it back. It
// reports false if the domain is evacuated already.
func (o *operators) evacuate(domain string) (takeBack func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, list := range o.evacuated {
		if len(list) > 0 && list[len(list)-1].to.IsZero() {
			return nil, false
		}
	}
	o.site.store.Evacuate(domain, true)
	o.evacuated[domain] = append(o.evacuated[domain], span{from: time.Now()})
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		list := o.evacuated[domain]
		list[len(list)-1].to = time.Now()
		o.site.store.Evacuate(domain, false)
	}, true
}
