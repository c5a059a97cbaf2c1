package gateway

import (
	"net/http"
	"slices"
	"strings"

	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
)

// upstreamHeaders are the request headers that are sent upstream. All others, in
// particular credentials, cookies and the gateway's own headers, are dropped.
var upstreamHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent", "If-None-Match", "If-Modified-Since"}

// upstreamHeader returns the headers to send upstream, without values that contain an
// API key.
func upstreamHeader(c *call) http.Header {
	out := http.Header{}
	for _, name := range upstreamHeaders {
		for _, value := range c.r.Header.Values(name) {
			if !c.containsAPIKey(value) {
				out.Add(name, value)
			}
		}
	}
	return out
}

// secretParams are query parameters that may hold an API key, in lower case and without
// separators.
var secretParams = []string{
	"key", "apikey", "xapikey", "accesskey", "accesstoken", "token", "auth", "authtoken",
	"authorization", "bearer", "bearertoken", "secret", "password", "subscriptionkey",
}

var separators = strings.NewReplacer("-", "", "_", "", ".", "")

// upstreamPath returns the path and query without parameters that may hold an API key.
// Malformed parameters are dropped.
func upstreamPath(c *call) string {
	query := c.r.URL.Query()
	for name, values := range query {
		normalized := separators.Replace(strings.ToLower(name))
		if slices.Contains(secretParams, normalized) || c.containsAPIKey(name) || slices.ContainsFunc(values, c.containsAPIKey) {
			query.Del(name)
		}
	}
	if len(query) == 0 {
		return c.r.URL.EscapedPath()
	}
	return c.r.URL.EscapedPath() + "?" + query.Encode()
}

// checkPath rejects a path that contains an API key, which would end up in upstream logs.
func checkPath(c *call) *errkind.Error {
	if slices.ContainsFunc(strings.Split(c.r.URL.Path, "/"), c.containsAPIKey) {
		return malformed("the path must not contain an API key; send that as Authorization: Bearer KEY")
	}
	return nil
}

// containsAPIKey reports whether text contains the caller's API key or is any known key.
func (c *call) containsAPIKey(text string) bool {
	if c.apiKey != "" && strings.Contains(text, c.apiKey) {
		return true
	}
	if c.snapshot.Config == nil || text == "" {
		return false
	}
	_, known := c.snapshot.Config.APIKeys.Get(opconfig.HashAPIKey(text))
	return known
}

// maxLoggedBytes bounds caller-supplied text in a log line or message.
const maxLoggedBytes = 200

func shorten(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedBytes], "") + "..."
}

// loggedPath returns the path for the log, with API keys masked.
func loggedPath(c *call) string {
	segments := strings.Split(c.r.URL.Path, "/")
	for i, segment := range segments {
		if c.containsAPIKey(segment) {
			segments[i] = "KEY"
		}
	}
	return shorten(strings.Join(segments, "/"))
}
