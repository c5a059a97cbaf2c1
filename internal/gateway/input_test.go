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

type rejection struct {
	Error struct {
		Kind      errkind.Kind
		Message   string
		Ran       errkind.Execution
		RequestID string `json:"request_id"`
	}
}

func rejectionOf(t *testing.T, a response) rejection {
	t.Helper()
	g := NewWithT(t)
	g.Expect(a.err).To(BeNil())
	var r rejection
	g.Expect(json.Unmarshal([]byte(a.body), &r)).To(Succeed(), a.body)
	g.Expect(r.Error.RequestID).To(Equal(a.header.Get("X-Request-Id")))
	g.Expect(r.Error.Message).NotTo(BeEmpty())
	g.Expect(a.status).To(Equal(errkind.ResponseFor(r.Error.Kind).Status))
	return r
}

// Guards against invalid input that reaches an upstream, consumes a rate token, or gets an
// unhelpful error kind or message. The rate of the client account is 0, so any error other
// than RateLimited shows that the request took no token.
func TestBadInput(t *testing.T) {
	engine, e := startEngine(t, "engine", "a")
	service, s := startService(t, "ledger", "a")
	entry := startEntry(t, "entry", "a", options{}, e, s)
	before := engine.RequestCount()
	const chat = "/v1/chat/completions"
	const text = "/v1/completions"
	post := http.MethodPost
	type h = []string
	for name, c := range map[string]struct {
		method, path, body, key string
		headers                 []string
		kind                    errkind.Kind
		message                 string
	}{
		"valid":              {post, text, completionBody("x", false), zeroRateKey, nil, errkind.RateLimited, "rate"},
		"valid read":         {"GET", "/orders/1", "", zeroRateKey, nil, errkind.RateLimited, "rate"},
		"not JSON":           {post, chat, `{"model":`, zeroRateKey, nil, errkind.MalformedRequest, "JSON object"},
		"no object":          {post, chat, `null`, zeroRateKey, nil, errkind.MalformedRequest, "JSON object"},
		"text after JSON":    {post, text, completionBody("x", false) + "x", zeroRateKey, nil, errkind.MalformedRequest, "JSON object"},
		"no model":           {post, chat, `{"messages":[]}`, zeroRateKey, nil, errkind.MalformedRequest, "GET /v1/models"},
		"model in capitals":  {post, chat, `{"Model":"lantern","messages":[]}`, zeroRateKey, nil, errkind.MalformedRequest, "field model"},
		"model is a number":  {post, chat, `{"model":1,"messages":[]}`, zeroRateKey, nil, errkind.MalformedRequest, "string"},
		"stream is a string": {post, chat, `{"model":"lantern","stream":"yes","messages":[]}`, zeroRateKey, nil, errkind.MalformedRequest, "true or false"},
		"no messages":        {post, chat, `{"model":"lantern"}`, zeroRateKey, nil, errkind.MalformedRequest, "array"},
		"messages is text":   {post, chat, `{"model":"lantern","messages":"x"}`, zeroRateKey, nil, errkind.MalformedRequest, "array"},
		"prompt is a number": {post, text, `{"model":"lantern","prompt":1}`, zeroRateKey, nil, errkind.MalformedRequest, "string or an array"},
		"unknown model":      {post, text, `{"model":"x","prompt":""}`, zeroRateKey, nil, errkind.UnknownModel, "GET /v1/models"},
		"unknown route":      {"GET", "/nothing", "", zeroRateKey, nil, errkind.UnknownRoute, "/nothing"},
		"slash at the end":   {post, "/v1/models/", "", zeroRateKey, nil, errkind.UnknownRoute, "path"},
		"wrong method":       {"GET", chat, "", zeroRateKey, nil, errkind.MethodNotAllowed, "POST"},
		"unknown method":     {"BREW", "/orders", "", zeroRateKey, nil, errkind.MethodNotAllowed, "PATCH"},
		"trace":              {"TRACE", "/orders", "", zeroRateKey, nil, errkind.MethodNotAllowed, "PATCH"},
		"dot segments":       {"GET", "/orders/%2e%2e/admin", "", zeroRateKey, nil, errkind.MalformedRequest, "segments"},
		"key in the path":    {"GET", "/orders/" + zeroRateKey, "", zeroRateKey, nil, errkind.MalformedRequest, "Authorization"},
		"body too large":     {post, text, strings.Repeat("x", 9<<20), zeroRateKey, nil, errkind.BodyTooLarge, "8388608"},
		"key missing":        {post, text, completionBody("x", false), "", nil, errkind.KeyMissing, "Bearer"},
		"other scheme":       {post, text, "", "", h{"Authorization", "Basic abc"}, errkind.KeyMissing, "Bearer"},
		"key unknown":        {post, text, "", "sk-no", nil, errkind.KeyUnknown, "not known"},
		"key withdrawn":      {post, text, "", revokedKey, nil, errkind.KeyRevoked, "withdrawn"},
		"account suspended":  {post, text, "", suspendedKey, nil, errkind.KeyRevoked, "not active"},
		"timeout is text":    {post, text, "", zeroRateKey, h{"X-Request-Timeout", "soon"}, errkind.MalformedRequest, "600"},
		"timeout is NaN":     {post, text, "", zeroRateKey, h{"X-Request-Timeout", "NaN"}, errkind.MalformedRequest, "600"},
		"timeout is huge":    {post, text, "", zeroRateKey, h{"X-Request-Timeout", "1e300"}, errkind.MalformedRequest, "600"},
		"timeout overflows":  {post, text, "", zeroRateKey, h{"X-Request-Timeout", "1e999"}, errkind.MalformedRequest, "600"},
		"timeout is zero":    {post, text, "", zeroRateKey, h{"X-Request-Timeout", "0"}, errkind.DeadlinePassed, "above 0"},
		"timeout below zero": {post, text, "", zeroRateKey, h{"X-Request-Timeout", "-1e300"}, errkind.DeadlinePassed, "above 0"},
		"timeout twice":      {post, text, "", zeroRateKey, h{"X-Request-Timeout", "1", "X-Request-Timeout", "2"}, errkind.MalformedRequest, "once"},
		"deadline is text":   {post, text, "", zeroRateKey, h{"X-Request-Deadline", "noon"}, errkind.MalformedRequest, "RFC 3339"},
		"deadline is far":    {post, text, "", zeroRateKey, h{"X-Request-Deadline", "2999-01-01T00:00:00Z"}, errkind.MalformedRequest, "10m"},
		"deadline passed":    {post, text, "", zeroRateKey, h{"X-Request-Deadline", "2001-01-01T00:00:00Z"}, errkind.DeadlinePassed, "passed"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := entry.do(t, c.method, c.path, c.body, c.key, c.headers...)
			r := rejectionOf(t, a)
			g.Expect(r.Error.Kind).To(Equal(c.kind), a.body)
			g.Expect(r.Error.Ran).To(Equal(errkind.NotExecuted))
			g.Expect(r.Error.Message).To(ContainSubstring(c.message))
		})
	}
	g := NewWithT(t)
	g.Expect(engine.RequestCount()).To(Equal(before))
	g.Expect(service.RequestCount()).To(BeZero())
}

// Guards against sending API keys or internal headers upstream, against logging keys, and
// against adopting a request id that the caller sent.
func TestKeysStayHere(t *testing.T) {
	g := NewWithT(t)
	service, s := startService(t, "ledger", "a")
	entry := startEntry(t, "entry", "a", options{}, s)
	a := entry.do(t, http.MethodGet, "/orders/7?api_key="+activeKey+"&q=1&x="+activeKey+"&y="+zeroRateKey+"&a;b="+activeKey, "", activeKey,
		"X-Request-Id", "mine", "Cookie", "session="+activeKey, "User-Agent", "agent "+activeKey, "Accept", "text/plain",
		"X-Api-Key", activeKey, "Last-Event-ID", "4", "X-Heatherloom-Peer", peerSecret, "Idempotency-Key", "k")
	g.Expect(a.status).To(Equal(http.StatusOK), a.body)
	g.Expect(a.header.Get("X-Request-Id")).NotTo(Equal("mine"))
	seen := service.ReceivedRequests()[0]
	g.Expect(seen.URI).To(Equal("/orders/7?q=1"))
	g.Expect(seen.Header.Get("X-Request-Id")).To(Equal(a.header.Get("X-Request-Id")))
	g.Expect(seen.Header.Get("Accept")).To(Equal("text/plain"))
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", "Last-Event-Id", "X-Heatherloom-Peer", "Idempotency-Key"} {
		g.Expect(seen.Header).NotTo(HaveKey(name))
	}
	rejected := entry.do(t, http.MethodGet, "/orders/"+zeroRateKey, "", activeKey)
	g.Expect(rejected.status).To(Equal(http.StatusBadRequest))
	everything := fmt.Sprint(service.ReceivedRequests(), string(entry.log.Contents()))
	for _, key := range []string{activeKey, zeroRateKey} {
		g.Expect(everything).NotTo(ContainSubstring(key))
	}
}

// Guards against a rejection that is delayed until a slow request body has arrived.
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

type panicForwarder struct{}

func (panicForwarder) Forward(context.Context, routing.Peer, *dispatch.Request, dispatch.Sink) relay.Result {
	panic("test panic")
}

// Guards against a panic that ends the process or leaves the caller without a response.
func TestPanicIsAnswered(t *testing.T) {
	g := NewWithT(t)
	e := startEntry(t, "entry", "a", options{forwarder: panicForwarder{}})
	e.loop.Post(t.Context(), control.HeartbeatEvent{Peer: routing.Peer{ID: "peer", Region: "b"}})
	eventually(t, func() bool { return len(e.loop.Snapshot().Peers) == 1 })
	r := rejectionOf(t, e.do(t, http.MethodGet, "/orders/1", "", activeKey))
	g.Expect(r.Error.Kind).To(Equal(errkind.Internal))
	g.Expect(r.Error.Ran).To(Equal(errkind.ExecutionUnknown))
	g.Expect(r.Error.Message).NotTo(ContainSubstring("test panic"))
	g.Expect(string(e.log.Contents())).To(ContainSubstring("test panic"))
}
