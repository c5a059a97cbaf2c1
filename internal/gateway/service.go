package gateway

// This file serves the API's routes to plain services (opconfig.Route), GET /v1/models and
// GET /v1/entries. Host routes (opconfig.HostRoute) are served by host.go; service.go of
// package routing chooses upstreams for host routes only.

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/writes"
)

// service handles the operator-defined routes to plain services.
func (s *server) service(c *call) *errkind.Error {
	if !c.snapshot.Ready {
		return errkind.New(errkind.NotReady, "this instance is not ready: it has no configuration yet or is waiting for its slot")
	}
	route, ok := matchRoute(c.snapshot.Config.Routes, c.r.URL.Path)
	if !ok {
		return errkind.New(errkind.UnknownRoute, "no route serves the path %q; the operators define the routes", loggedPath(c))
	}
	var account opconfig.Account
	if !route.Public {
		authenticated, err := s.authenticate(c)
		if err != nil {
			return err
		}
		account = authenticated
	}
	if err := checkPath(c); err != nil {
		return err
	}
	deadline, err := requestDeadline(c.r.Header, s.Now())
	if err != nil {
		return err
	}
	key, err := idempotencyKey(c, route)
	if err != nil {
		return err
	}
	if err := s.readBody(c); err != nil {
		return err
	}
	if !route.Public {
		if err := s.admit(c, account, deadline); err != nil {
			return err
		}
	}
	request := &dispatch.Request{
		ID:          c.id,
		Account:     account.Name,
		Method:      c.r.Method,
		Path:        upstreamPath(c),
		Header:      upstreamHeader(c),
		Body:        c.body.bytes,
		Target:      route.Service,
		Repeatable:  repeatable(route, c.r.Method),
		BoundRegion: boundRegion(account, route),
		Deadline:    deadline,
	}
	if key == "" || s.Writes == nil {
		return s.dispatch(c, request)
	}
	return s.dispatchWrite(c, &writes.Write{Key: key, Region: cmp.Or(route.HomeRegion, account.HomeRegion), Request: request})
}

// matchRoute returns the route with the longest matching prefix of path.
func matchRoute(routes map[string]opconfig.Route, path string) (opconfig.Route, bool) {
	for prefix := strings.TrimSuffix(path, "/"); prefix != ""; {
		if route, ok := routes[prefix]; ok {
			return route, true
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
	route, ok := routes["/"]
	return route, ok
}

// repeatable reports whether the request may be sent again after a failure: its method is
// listed as idempotent for the route or, if the route lists none, is GET or HEAD.
func repeatable(route opconfig.Route, method string) bool {
	if len(route.Idempotent) > 0 {
		return slices.Contains(route.Idempotent, method)
	}
	return method == http.MethodGet || method == http.MethodHead
}

// boundRegion returns the region that the request must not leave. The home region of the
// client account takes precedence over that of the route.
func boundRegion(a opconfig.Account, route opconfig.Route) string {
	if a.HomeRegion != "" {
		return a.HomeRegion
	}
	return route.HomeRegion
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models handles GET /v1/models.
func (s *server) models(c *call) *errkind.Error {
	if _, err := s.authenticate(c); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range c.snapshot.Config.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "heatherloom"})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	return writeJSON(c, list)
}

// entriesValidity is how long a caller may cache a response of GET /v1/entries.
const entriesValidity = 5 * time.Second

// entryList is the response of GET /v1/entries, with the entries in the order in which to
// try them.
type entryList struct {
	Entries         []entryItem `json:"entries"`
	ValidForSeconds int64       `json:"valid_for_seconds"`
}

type entryItem struct {
	ID     string `json:"id"`
	URL    string `json:"url"`
	Region string `json:"region"`
}

// entries handles GET /v1/entries: it lists the entry instances that the client account
// should use.
func (s *server) entries(c *call) *errkind.Error {
	members := []membership.Member{{ID: c.snapshot.SelfID, CallerURL: c.scheme() + c.r.Host, Region: c.snapshot.Region, Draining: c.snapshot.Draining}}
	if c.snapshot.Quota.Held {
		members[0].Slot = c.snapshot.Quota.Own.ID()
	}
	for _, p := range c.snapshot.Peers {
		members = append(members, membership.Member{ID: p.ID, CallerURL: p.CallerURL, Region: p.Region, Draining: p.Draining, Slot: p.Slot})
	}
	account := s.optionalAccount(c)
	list := entryList{ValidForSeconds: int64(entriesValidity.Seconds()), Entries: []entryItem{}}
	for _, m := range membership.Entries(account.Name, c.snapshot.Region, accountSlotIDs(c, account), members) {
		list.Entries = append(list.Entries, entryItem{ID: m.ID, URL: m.CallerURL, Region: m.Region})
	}
	return writeJSON(c, list)
}

// optionalAccount returns the client account of the request's API key; empty without a
// valid key, as the list of entry instances does not require one.
func (s *server) optionalAccount(c *call) opconfig.Account {
	account, err := s.authenticate(c)
	if err != nil {
		return opconfig.Account{}
	}
	return account
}

// accountSlotIDs returns the ids (domain/index) of the slots over which the account's
// rate is divided.
func accountSlotIDs(c *call, account opconfig.Account) []string {
	if account.Name == "" {
		return nil
	}
	var slots []string
	for _, slot := range c.snapshot.Quota.Division.AccountSlots(account) {
		slots = append(slots, slot.ID())
	}
	return slots
}
