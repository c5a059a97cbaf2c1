package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
)

// inferenceBody holds the fields of a completion request that the gateway reads.
type inferenceBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// inference serves the completion endpoints.
func (s *server) inference(c *call) *errkind.Error {
	account, err := s.admit(c)
	if err != nil {
		return err
	}
	deadline, err := s.deadline(c)
	if err != nil {
		return err
	}
	if err := readBody(c); err != nil {
		return err
	}
	body, err := parseInference(c.body)
	if err != nil {
		return err
	}
	target, err := modelTarget(c, body.Model)
	if err != nil {
		return err
	}
	c.sink.stream = body.Stream
	return s.serve(c, &dispatch.Request{
		ID:          c.id,
		Account:     account.Name,
		Method:      http.MethodPost,
		Path:        c.r.URL.Path,
		Header:      upstreamHeader(c.r.Header),
		Body:        c.body,
		Target:      target,
		Stream:      body.Stream,
		Repeatable:  true,
		BoundRegion: account.Home,
		Deadline:    deadline,
	})
}

func parseInference(raw []byte) (inferenceBody, *errkind.Error) {
	var body inferenceBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, errkind.New(errkind.MalformedRequest, "the body must be a JSON object with a model and messages or a prompt: %v", err)
	}
	if body.Model == "" {
		return body, errkind.New(errkind.MalformedRequest, "the body must name a model; GET /v1/models lists them")
	}
	return body, nil
}

// modelTarget returns the model@version that carries the request.
func modelTarget(c *call, name string) (string, *errkind.Error) {
	model, ok := c.snapshot.Config.Models[name]
	if !ok {
		return "", errkind.New(errkind.UnknownModel, "model %q does not exist; GET /v1/models lists the models", name)
	}
	split, ok := c.snapshot.Splits[name]
	if !ok {
		return name + "@" + model.Version, nil
	}
	return name + "@" + split.Running, nil
}

// Headers by which callers state a deadline.
const (
	headerTimeout  = "X-Request-Timeout"
	headerDeadline = "X-Request-Deadline"
)

// deadline returns the time by which the answer must be complete.
func (s *server) deadline(c *call) (time.Time, *errkind.Error) {
	now := s.Now()
	deadline := now.Add(defaultTimeout)
	if text := c.r.Header.Get(headerTimeout); text != "" {
		timeout, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return now, errkind.New(errkind.MalformedRequest, "%s must be a number of seconds, not %q", headerTimeout, text)
		}
		deadline = now.Add(time.Duration(timeout * float64(time.Second)))
	}
	if text := c.r.Header.Get(headerDeadline); text != "" {
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return now, errkind.New(errkind.MalformedRequest, "%s must be a time as in RFC 3339, not %q", headerDeadline, text)
		}
		deadline = parsed
	}
	if !deadline.After(now) {
		return now, errkind.New(errkind.DeadlinePassed, "the deadline of the request has passed already")
	}
	if limit := now.Add(maxTimeout); deadline.After(limit) {
		return limit, nil
	}
	return deadline, nil
}

// upstreamHeaders are the caller's headers that upstreams receive. All others, in
// particular credentials, cookies and the gateway's own headers, are dropped.
var upstreamHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent", "If-None-Match", "If-Modified-Since"}

func upstreamHeader(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range upstreamHeaders {
		if v := in.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = slices.Clone(v)
		}
	}
	return out
}

// secretParams are query parameters that may hold a caller's key.
var secretParams = []string{"key", "api_key", "apikey", "api-key", "access_token", "token", "authorization"}

// upstreamPath returns the path and query without parameters that may hold a key.
func upstreamPath(r *http.Request) string {
	query := r.URL.Query()
	for name := range query {
		if slices.Contains(secretParams, strings.ToLower(name)) {
			query.Del(name)
		}
	}
	if len(query) == 0 {
		return r.URL.EscapedPath()
	}
	return r.URL.EscapedPath() + "?" + query.Encode()
}
