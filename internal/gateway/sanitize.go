package gateway

import (
	"net/http"
	"slices"
	"strings"

	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
)

// upstreamHeaders are the caller's headers that upstreams receive. All others, in
// particular credentials, cookies and the gateway's own headers, are dropped.
var upstreamHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent", "If-None-Match", "If-Modified-Since"}

// upstreamHeader returns the headers that upstreams receive, without values that
// hold a key.
func upstreamHeader(c *call) http.Header {
	out := http.Header{}
	for _, name := range upstreamHeaders {
		for _, value := range c.r.Header.Values(name) {
			if !c.holdsKey(value) {
				out.Add(name, value)
			}
		}
	}
	return out
}

// secretParams are query parameters that may hold a caller's key, in lower case and
// without separators.
var secretParams = []string{
	"key", "apikey", "xapikey", "accesskey", "accesstoken", "token", "auth", "authtoken",
	"authorization", "bearer", "bearertoken", "secret", "password", "subscriptionkey",
}

var separators = strings.NewReplacer("-", "", "_", "", ".", "")

// upstreamPath returns the path and query without parameters that may hold a key.
// Parameters that are not well-formed are dropped.
func upstreamPath(c *call) string {
	query := c.r.URL.Query()
	for name, values := range query {
		normal := separators.Replace(strings.ToLower(name))
		if slices.Contains(secretParams, normal) || c.holdsKey(name) || slices.ContainsFunc(values, c.holdsKey) {
			query.Del(name)
		}
	}
	if len(query) == 0 {
		return c.r.URL.EscapedPath()
	}
	return c.r.URL.EscapedPath() + "?" + query.Encode()
}

// checkPath refuses a path with a key in it, which would reach the logs of upstreams.
func checkPath(c *call) *errkind.Error {
	if slices.ContainsFunc(strings.Split(c.r.URL.Path, "/"), c.holdsKey) {
		return malformed("the path must not contain a key; send it as Authorization: Bearer KEY")
	}
	return nil
}

// holdsKey reports whether text contains the caller's key or is any known key.
func (c *call) holdsKey(text string) bool {
	if c.secret != "" && strings.Contains(text, c.secret) {
		return true
	}
	if c.snapshot.Config == nil || text == "" {
		return false
	}
	_, known := c.snapshot.Config.APIKeys.Get(opconfig.HashAPIKey(text))
	return known
}

// maxLoggedBytes bounds a text of the caller in a log line or message.
const maxLoggedBytes = 200

func shorten(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedBytes], "") + "..."
}

// loggedPath returns the path for the log, without keys.
func loggedPath(c *call) string {
	segments := strings.Split(c.r.URL.Path, "/")
	for i, segment := range segments {
		if c.holdsKey(segment) {
			segments[i] = "KEY"
		}
	}
	return shorten(strings.Join(segments, "/"))
}
