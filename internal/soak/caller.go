package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"heatherloom/platform/standin"
)

const (
	// callerDeadline is how long a caller waits, and callerPatience when it gives up on an
	// instance that does not answer at all.
	callerDeadline = 2 * time.Second
	callerPatience = 4 * time.Second
	// listValidity is how long callers keep a list of instances.
	listValidity = time.Second
	listTimeout  = time.Second
	// callPause is the longest pause of a caller between two requests.
	callPause = 30 * time.Millisecond
	// meteredPause makes the callers of the metered account ask for three times its rate.
	meteredPause = 40 * time.Millisecond
)

// mix is what the callers of the main account send, each kind as often as it is listed.
var mix = []kind{kindWrite, kindWrite, kindWrite, kindRead, kindRead, kindStream, kindStream, kindMoving, kindBound}

var paths = map[kind]struct{ method, prefix string }{
	kindWrite:   {http.MethodPost, "/w/"},
	kindRead:    {http.MethodGet, "/r/"},
	kindStream:  {http.MethodPost, "/g/"},
	kindMoving:  {http.MethodGet, "/m/"},
	kindBound:   {http.MethodPost, "/b/"},
	kindMetered: {http.MethodGet, "/r/"},
}

// crowd is all callers of a run.
type crowd struct {
	site      *site
	operators *operators

	mu    sync.Mutex
	calls []call
}

// caller is one caller with connections of its own, which it keeps open.
type caller struct {
	crowd  *crowd
	name   string
	region string
	rng    *rand.Rand
	client *http.Client
	// addresses are the instances to call, as of listed.
	addresses []string
	listed    time.Time
	sent      int
}

func (c *crowd) newCaller(name, region string, rng *rand.Rand) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	return &caller{crowd: c, name: name, region: region, rng: rng, client: &http.Client{Transport: transport, Timeout: callerPatience}}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context, pick func(*caller) (kind, string), pause time.Duration) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		kind, key := pick(c)
		c.send(kind, key)
		time.Sleep(time.Duration(c.rng.Int64N(int64(pause))))
	}
}

// pickMain sends the mix of the main account, and now and then with a key that changes.
func pickMain(c *caller) (kind, string) {
	if c.rng.IntN(len(mix)) == 0 {
		return kindRead, c.crowd.operators.someKey(c.rng)
	}
	return mix[c.rng.IntN(len(mix))], mainKey
}

func pickMetered(*caller) (kind, string) { return kindMetered, meteredKey }

// send makes one call at an instance and records it. It returns the result.
func (c *caller) send(k kind, key string) result {
	e := c.choose()
	if e == nil {
		return broken
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	shape := paths[k]
	request := standin.Call{ID: id, Method: shape.method, Path: shape.prefix + id + "?x=%20", Key: key, Deadline: callerDeadline}
	if shape.method == http.MethodPost {
		request.Body = fmt.Appendf(nil, "body of %s", id)
	}
	record := call{id: id, kind: k, entry: e, key: key, sent: time.Now()}
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) { record.written = i.Err == nil },
	})
	answer := standin.Send(ctx, c.client, e.caller, request)
	record.ended = time.Now()
	record.status = answer.Status
	record.result, record.detail = classify(k, request, answer)
	if answer.Err != nil {
		c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == e.caller })
	}
	c.crowd.mu.Lock()
	defer c.crowd.mu.Unlock()
	c.crowd.calls = append(c.crowd.calls, record)
	return record.result
}

// choose returns an instance of the latest list.
func (c *caller) choose() *entry {
	if len(c.addresses) == 0 || time.Since(c.listed) > listValidity {
		c.list()
	}
	if len(c.addresses) == 0 {
		time.Sleep(callPause)
		return nil
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	for _, e := range c.crowd.site.entries {
		if e.caller == address {
			return e
		}
	}
	return nil
}

// list asks up to three instances for a new list, those of the region first.
func (c *caller) list() {
	asked := slices.Clone(c.crowd.site.entries)
	c.rng.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	slices.SortStableFunc(asked, func(a, b *entry) int { return near(a, c.region) - near(b, c.region) })
	for _, e := range asked[:min(3, len(asked))] {
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		addresses, err := standin.Resolve(ctx, c.client, e.directory, c.region)
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.listed = addresses, time.Now()
			return
		}
	}
}

func near(e *entry, region string) int {
	if e.region == region {
		return 0
	}
	return 1
}

// classify compares an answer with the one that the request must get.
func classify(k kind, request standin.Call, a standin.Answer) (result, string) {
	switch {
	case a.Err != nil:
		return broken, a.Err.Error()
	case a.Status == http.StatusOK:
		return classifySuccess(k, request, a)
	case !a.Own:
		return wrong, fmt.Sprintf("status %d names request %q", a.Status, a.Header.Get("Request-Id"))
	case promises[a.Status]:
		return refused, string(a.Body)
	default:
		return failed, string(a.Body)
	}
}

// promises are the statuses that say that a request did not run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

func classifySuccess(k kind, request standin.Call, a standin.Answer) (result, string) {
	want := standin.PlainAnswer(request.Method, request.Path, request.Body)
	if k == kindStream {
		want = nil
		for n := 1; n <= streamEvents; n++ {
			want = append(want, standin.StreamEvent(request.ID, n)...)
		}
	}
	if a.Own && a.Sealed && bytes.Equal(a.Body, want) {
		return whole, ""
	}
	return wrong, fmt.Sprintf("own=%t sealed=%t body %q, want %q", a.Own, a.Sealed, a.Body, want)
}
