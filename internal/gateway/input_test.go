package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

type refusal struct {
	Error struct {
		Kind      errkind.Kind
		Message   string
		Ran       errkind.Execution
		RequestID string `json:"request_id"`
	}
}

func refusalOf(t *testing.T, a answer) refusal {
	t.Helper()
	g := NewWithT(t)
	g.Expect(a.err).To(BeNil())
	var r refusal
	g.Expect(json.Unmarshal([]byte(a.body), &r)).To(Succeed(), a.body)
	g.Expect(r.Error.RequestID).To(Equal(a.header.Get("X-Request-Id")))
	g.Expect(r.Error.Message).NotTo(BeEmpty())
	g.Expect(a.status).To(Equal(errkind.ResponseFor(r.Error.Kind).Status))
	return r
}

// Guards against bad input that reaches an upstream, costs a rate token, or gets a
// kind or message that does not help. The client account has no token at all, so a
// request that gets another kind took none.
func TestBadInput(t *testing.T) {
	engine, e := startEngine(t, "engine", "a")
	service, s := startService(t, "ledger", "a")
	entry := startEntry(t, "entry", "a", options{}, e, s)
	before := engine.Requests()
	const chat = "/v1/chat/completions"
	const text = "/v1/completions"
	post := http.MethodPost
	type h = []string
	for name, c := range map[string]struct {
		method, path, body, key string
		headers                 []string
		kind                    errkind.Kind
		says                    string
	}{
		"valid":              {post, text, prompt("x", false), poorKey, nil, errkind.RateLimited, "rate"},
		"valid read":         {"GET", "/orders/1", "", poorKey, nil, errkind.RateLimited, "rate"},
		"not JSON":           {post, chat, `{"model":`, poorKey, nil, errkind.MalformedRequest, "JSON object"},
		"no object":          {post, chat, `null`, poorKey, nil, errkind.MalformedRequest, "JSON object"},
		"text after JSON":    {post, text, prompt("x", false) + "x", poorKey, nil, errkind.MalformedRequest, "JSON object"},
		"no model":           {post, chat, `{"messages":[]}`, poorKey, nil, errkind.MalformedRequest, "GET /v1/models"},
		"model in capitals":  {post, chat, `{"Model":"lantern","messages":[]}`, poorKey, nil, errkind.MalformedRequest, "field model"},
		"model is a number":  {post, chat, `{"model":1,"messages":[]}`, poorKey, nil, errkind.MalformedRequest, "string"},
		"stream is a string": {post, chat, `{"model":"lantern","stream":"yes","messages":[]}`, poorKey, nil, errkind.MalformedRequest, "true or false"},
		"no messages":        {post, chat, `{"model":"lantern"}`, poorKey, nil, errkind.MalformedRequest, "array"},
		"messages is text":   {post, chat, `{"model":"lantern","messages":"x"}`, poorKey, nil, errkind.MalformedRequest, "array"},
		"prompt is a number": {post, text, `{"model":"lantern","prompt":1}`, poorKey, nil, errkind.MalformedRequest, "string or an array"},
		"unknown model":      {post, text, `{"model":"x","prompt":""}`, poorKey, nil, errkind.UnknownModel, "GET /v1/models"},
		"unknown route":      {"GET", "/nothing", "", poorKey, nil, errkind.UnknownRoute, "/nothing"},
		"slash at the end":   {post, "/v1/models/", "", poorKey, nil, errkind.UnknownRoute, "path"},
		"wrong method":       {"GET", chat, "", poorKey, nil, errkind.MethodNotAllowed, "POST"},
		"unknown method":     {"BREW", "/orders", "", poorKey, nil, errkind.MethodNotAllowed, "PATCH"},
		"trace":              {"TRACE", "/orders", "", poorKey, nil, errkind.MethodNotAllowed, "PATCH"},
		"dot segments":       {"GET", "/orders/%2e%2e/admin", "", poorKey, nil, errkind.MalformedRequest, "segments"},
		"key in the path":    {"GET", "/orders/" + poorKey, "", poorKey, nil, errkind.MalformedRequest, "Authorization"},
		"body too large":     {post, text, strings.Repeat("x", 9<<20), poorKey, nil, errkind.BodyTooLarge, "8388608"},
		"key missing":        {post, text, prompt("x", false), "", nil, errkind.KeyMissing, "Bearer"},
		"other scheme":       {post, text, "", "", h{"Authorization", "Basic abc"}, errkind.KeyMissing, "Bearer"},
		"key unknown":        {post, text, "", "sk-no", nil, errkind.KeyUnknown, "not known"},
		"key withdrawn":      {post, text, "", oldKey, nil, errkind.KeyWithdrawn, "withdrawn"},
		"account suspended":  {post, text, "", idleKey, nil, errkind.KeyWithdrawn, "not active"},
		"timeout is text":    {post, text, "", poorKey, h{"X-Request-Timeout", "soon"}, errkind.MalformedRequest, "600"},
		"timeout is NaN":     {post, text, "", poorKey, h{"X-Request-Timeout", "NaN"}, errkind.MalformedRequest, "600"},
		"timeout is huge":    {post, text, "", poorKey, h{"X-Request-Timeout", "1e300"}, errkind.MalformedRequest, "600"},
		"timeout overflows":  {post, text, "", poorKey, h{"X-Request-Timeout", "1e999"}, errkind.MalformedRequest, "600"},
		"timeout is zero":    {post, text, "", poorKey, h{"X-Request-Timeout", "0"}, errkind.DeadlinePassed, "above 0"},
		"timeout below zero": {post, text, "", poorKey, h{"X-Request-Timeout", "-1e300"}, errkind.DeadlinePassed, "above 0"},
		"timeout twice":      {post, text, "", poorKey, h{"X-Request-Timeout", "1", "X-Request-Timeout", "2"}, errkind.MalformedRequest, "once"},
		"deadline is text":   {post, text, "", poorKey, h{"X-Request-Deadline", "noon"}, errkind.MalformedRequest, "RFC 3339"},
		"deadline is far":    {post, text, "", poorKey, h{"X-Request-Deadline", "2999-01-01T00:00:00Z"}, errkind.MalformedRequest, "10m"},
		"deadline passed":    {post, text, "", poorKey, h{"X-Request-Deadline", "2001-01-01T00:00:00Z"}, errkind.DeadlinePassed, "passed"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := entry.do(t, c.method, c.path, c.body, c.key, c.headers...)
			r := refusalOf(t, a)
			g.Expect(r.Error.Kind).To(Equal(c.kind), a.body)
			g.Expect(r.Error.Ran).To(Equal(errkind.NotExecuted))
			g.Expect(r.Error.Message).To(ContainSubstring(c.says))
		})
	}
	g := NewWithT(t)
	g.Expect(engine.Requests()).To(Equal(before))
	g.Expect(service.Requests()).To(BeZero())
}

// Guards against a key or a header of the gateway that goes upstream or into the log,
// and against a caller's request id that is taken over.
func TestKeysStayHere(t *testing.T) {
	g := NewWithT(t)
	service, s := startService(t, "ledger", "a")
	entry := startEntry(t, "entry", "a", options{}, s)
	a := entry.do(t, http.MethodGet, "/orders/7?api_key="+derwentKey+"&q=1&x="+derwentKey+"&y="+poorKey+"&a;b="+derwentKey, "", derwentKey,
		"X-Request-Id", "mine", "Cookie", "session="+derwentKey, "User-Agent", "agent "+derwentKey, "Accept", "text/plain",
		"X-Api-Key", derwentKey, "Last-Event-ID", "4", "X-Heatherloom-Peer", peerSecret, "Idempotency-Key", "k")
	g.Expect(a.status).To(Equal(http.StatusOK), a.body)
	g.Expect(a.header.Get("X-Request-Id")).NotTo(Equal("mine"))
	seen := service.Seen()[0]
	g.Expect(seen.URI).To(Equal("/orders/7?q=1"))
	g.Expect(seen.Header.Get("X-Request-Id")).To(Equal(a.header.Get("X-Request-Id")))
	g.Expect(seen.Header.Get("Accept")).To(Equal("text/plain"))
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", "Last-Event-Id", "X-Heatherloom-Peer", "Idempotency-Key"} {
		g.Expect(seen.Header).NotTo(HaveKey(name))
	}
	refused := entry.do(t, http.MethodGet, "/orders/"+poorKey, "", derwentKey)
	g.Expect(refused.status).To(Equal(http.StatusBadRequest))
	everything := fmt.Sprint(service.Seen(), string(entry.log.Contents()))
	for _, key := range []string{derwentKey, poorKey} {
		g.Expect(everything).NotTo(ContainSubstring(key))
	}
}

// Guards against a refusal that waits for a body which arrives slowly.
func TestRefusalIsNotHeldBack(t *testing.T) {
	g := NewWithT(t)
	entry := startEntry(t, "entry", "a", options{})
	c, err := net.Dial("tcp", strings.TrimPrefix(entry.url, "http://"))
	g.Expect(err).To(BeNil())
	defer c.Close()
	_, _ = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).To(BeNil())
	raw, err := io.ReadAll(resp.Body)
	g.Expect(err).To(BeNil())
	g.Expect(string(raw)).To(ContainSubstring("key_missing"))
}

type panicking struct{}

func (panicking) Forward(context.Context, routing.Peer, *dispatch.Request, dispatch.Sink) relay.Result {
	panic("test panic")
}

// Guards against a panic that ends the process or leaves the caller without answer.
func TestPanicIsAnswered(t *testing.T) {
	g := NewWithT(t)
	e := startEntry(t, "entry", "a", options{forward: panicking{}})
	e.loop.Post(t.Context(), control.HeartbeatEvent{Peer: routing.Peer{ID: "peer", Region: "b"}})
	eventually(t, func() bool { return len(e.loop.Snapshot().Peers) == 1 })
	r := refusalOf(t, e.do(t, http.MethodGet, "/orders/1", "", derwentKey))
	g.Expect(r.Error.Kind).To(Equal(errkind.Internal))
	g.Expect(r.Error.Ran).To(Equal(errkind.ExecutionUnknown))
	g.Expect(r.Error.Message).NotTo(ContainSubstring("test panic"))
	g.Expect(string(e.log.Contents())).To(ContainSubstring("test panic"))
}
