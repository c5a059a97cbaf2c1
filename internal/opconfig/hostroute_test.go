package opconfig_test

import (
	"testing"

	"heatherloom/internal/opconfig"
)

// Guards against a request that matches too short a prefix and runs at the wrong service.
func TestHostRouteTakesTheLongestPrefixOfItsHost(t *testing.T) {
	config := opconfig.New()
	for _, r := range []opconfig.HostRoute{
		{Host: "a.example", Prefix: "/x/", Name: "short"},
		{Host: "a.example", Prefix: "/x/y/", Name: "long"},
		{Host: "b.example", Prefix: "/x/y/", Name: "other host"},
		{Host: "c.example", Prefix: "/", Name: "root"},
	} {
		config.HostRoutes[r.ID()] = r
	}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/yy/1", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
		{"b.example", "/x/y/", "other host"},
		{"c.example", "/any/path", "root"},
		{"d.example", "/x/1", ""},
		{"a.example", "", ""},
	} {
		route, ok := config.HostRoute(c.host, c.path)
		if route.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s%s: got %q, %v; want %q", c.host, c.path, route.Name, ok, c.want)
		}
	}
}

// Guards against a request that leaves the regions that both its route and its account
// allow.
func TestBoundRegionsMeetsBothLists(t *testing.T) {
	for _, c := range []struct {
		route, account []string
		want           int
		ok             bool
	}{
		{nil, nil, 0, true},
		{[]string{"a"}, nil, 1, true},
		{nil, []string{"a", "b"}, 2, true},
		{[]string{"a", "b"}, []string{"b", "c"}, 1, true},
		{[]string{"a"}, []string{"b"}, 0, false},
	} {
		got, ok := opconfig.IntersectRegions(c.route, c.account)
		if len(got) != c.want || ok != c.ok {
			t.Errorf("%v and %v: got %v, %v", c.route, c.account, got, ok)
		}
	}
}

// Guards against a request that runs twice on a route whose kind this version does not
// recognize.
func TestOnlyKnownKindsMayRepeat(t *testing.T) {
	for _, c := range []struct {
		route opconfig.HostRoute
		want  bool
	}{
		{opconfig.HostRoute{Kind: opconfig.KindIdempotent}, true},
		{opconfig.HostRoute{Kind: opconfig.KindStream, Resumable: true}, true},
		{opconfig.HostRoute{Kind: opconfig.KindStream}, false},
		{opconfig.HostRoute{Kind: opconfig.KindWrite, Resumable: true}, false},
		{opconfig.HostRoute{Kind: opconfig.KindUnknown, Resumable: true}, false},
		{opconfig.HostRoute{Kind: "not recognized"}, false},
	} {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v: repeatable is %v", c.route, got)
		}
	}
}
