package soak

import (
	"bytes"
	"cmp"
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
	// requestDeadline is the deadline sent with each request, and clientTimeout the time
	// after which the client gives up on an instance that does not respond at all.
	requestDeadline = 2 * time.Second
	clientTimeout   = 4 * time.Second
	// instanceListTTL is how long callers use a list of instances.
	instanceListTTL     = time.Second
	instanceListTimeout = time.Second
	// maxCallPause is the longest pause of a caller between two requests.
	maxCallPause = 30 * time.Millisecond
	// One of leavingCalls calls of the main account is given up by its caller, within maxPatience.
	leavingCalls = 12
	maxPatience  = 400 * time.Millisecond
	// maxLimitedPause makes the callers of the rate-limited account send three times its rate.
	maxLimitedPause = 40 * time.Millisecond
)

// requestMix is the traffic of the main account: each kind has the weight of its occurrences.
var requestMix = []requestKind{kindWrite, kindWrite, kindWrite, kindRead, kindRead, kindStream, kindStream, kindRerouted, kindRegionBound}

var requestPaths = map[requestKind]struct{ method, prefix string }{
	kindWrite:       {http.MethodPost, "/w/"},
	kindRead:        {http.MethodGet, "/r/"},
	kindStream:      {http.MethodPost, "/g/"},
	kindRerouted:    {http.MethodGet, "/m/"},
	kindRegionBound: {http.MethodPost, "/b/"},
	kindLimited:     {http.MethodGet, "/r/"},
	kindHarmful:     {http.MethodGet, "/r/"},
	kindHarmfulPart: {http.MethodPost, "/g/"},
}

// callerGroup holds all callers of a run and the calls that they recorded.
type callerGroup struct {
	cluster  *cluster
	operator *operator

	mu    sync.Mutex
	calls []call
}

// caller sends requests one after another over its own persistent connections.
type caller struct {
	group  *callerGroup
	name   string
	region string
	rng    *rand.Rand
	client *http.Client
	// addresses are the instances to call, as resolved at listed.
	addresses []string
	listed    time.Time
	sent      int
	// harmful is the path of the harmful request that the caller sends, and harmfulPart the part of
	// the prompts of all of its requests that crashes servers; empty for none.
	harmful, harmfulPart string
}

func (c *callerGroup) newCaller(name, region string, rng *rand.Rand) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	return &caller{group: c, name: name, region: region, rng: rng, client: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context, pick func(*caller) (requestKind, string), pause time.Duration) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		kind, key := pick(c)
		c.send(kind, key)
		time.Sleep(time.Duration(c.rng.Int64N(int64(pause))))
	}
}

// pickMain picks a request of requestMix, or occasionally a read with a key of rotatedAccount.
func pickMain(c *caller) (requestKind, string) {
	if c.rng.IntN(len(requestMix)) == 0 {
		return kindRead, c.group.operator.randomKey(c.rng)
	}
	return requestMix[c.rng.IntN(len(requestMix))], mainKey
}

func pickLimited(*caller) (requestKind, string) { return kindLimited, limitedKey }

const (
	// harmfulPath is part of the path of a request that crashes every server.
	harmfulPath = "harmful"
	// harmfulPart begins the id of a prompt part that crashes every server.
	harmfulPart = "bad"
	// harmfulPeriod is how long a caller repeats one harmful request, or uses one harmful part, before
	// the next one.
	harmfulPeriod   = time.Minute
	maxHarmfulPause = 150 * time.Millisecond
)

// extraKey returns the key of one of extraAccounts client accounts.
func extraKey(account int) string { return fmt.Sprint("key-extra-", account) }

// pickHarmful returns a function that picks the harmful request of the current period, under any of the
// extra client accounts.
func pickHarmful() func(*caller) (requestKind, string) {
	started := time.Now()
	return func(c *caller) (requestKind, string) {
		c.harmful = fmt.Sprintf("%s-%d", harmfulPath, int(time.Since(started)/harmfulPeriod))
		return kindHarmful, extraKey(c.rng.IntN(extraAccounts))
	}
}

// pickHarmfulPart returns a function that picks the harmful prompt part of the current period.
func pickHarmfulPart() func(*caller) (requestKind, string) {
	started := time.Now()
	return func(c *caller) (requestKind, string) {
		c.harmfulPart = fmt.Sprintf("%s%d", harmfulPart, int(time.Since(started)/harmfulPeriod))
		return kindHarmfulPart, mainKey
	}
}

// prompt returns the parts of the prompt of a streaming request. All have the first one in common, and
// none the last one.
func (c *caller) prompt() string {
	first, own := "aa:100", fmt.Sprintf("%x:10", c.rng.Uint32())
	if c.harmfulPart == "" {
		return first + "," + own
	}
	return fmt.Sprintf("%s,%s:100,%s", first, c.harmfulPart, own)
}

// send sends one request to an instance, records the call and returns its result.
func (c *caller) send(k requestKind, key string) result {
	e := c.pickInstance()
	if e == nil {
		return incomplete
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	target := requestPaths[k]
	path := cmp.Or(c.harmful, id+"?x=%20")
	request := standin.Call{ID: id, Method: target.method, Path: target.prefix + path, Key: key, Timeout: requestDeadline}
	if target.method == http.MethodPost {
		request.Body = fmt.Appendf(nil, "body of %s", id)
	}
	if k == kindStream || k == kindHarmfulPart {
		request.Prompt = c.prompt()
	}
	record := call{id: id, kind: k, node: e, key: key, sent: time.Now(), content: cmp.Or(c.harmful, c.harmfulPart)}
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) { record.written = i.Err == nil },
	})
	ctx, leave := c.patience(ctx, k)
	defer leave()
	response := standin.Send(ctx, c.client, e.callerAddress, request)
	record.ended = time.Now()
	record.status = response.Status
	record.result, record.detail = classify(k, request, response)
	if response.Err != nil && ctx.Err() != nil {
		record.result = abandoned
	} else if response.Err != nil {
		c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == e.callerAddress })
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.calls = append(c.group.calls, record)
	return record.result
}

// patience returns a context that ends when the caller gives up, which few do.
func (c *caller) patience(ctx context.Context, k requestKind) (context.Context, context.CancelFunc) {
	if !slices.Contains(requestMix, k) || c.rng.IntN(leavingCalls) > 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(c.rng.Int64N(int64(maxPatience))))
}

// pickInstance returns a random instance of the current list, nil if there is none.
func (c *caller) pickInstance() *node {
	if len(c.addresses) == 0 || time.Since(c.listed) > instanceListTTL {
		c.refreshInstances()
	}
	if len(c.addresses) == 0 {
		time.Sleep(maxCallPause)
		return nil
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	for _, e := range c.group.cluster.nodes {
		if e.callerAddress == address {
			return e
		}
	}
	return nil
}

// refreshInstances asks up to three instances for a new list, those of the caller's region
// first.
func (c *caller) refreshInstances() {
	asked := slices.Clone(c.group.cluster.nodes)
	c.rng.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	slices.SortStableFunc(asked, func(a, b *node) int { return regionDistance(a, c.region) - regionDistance(b, c.region) })
	for _, e := range asked[:min(3, len(asked))] {
		ctx, cancel := context.WithTimeout(context.Background(), instanceListTimeout)
		addresses, err := standin.Resolve(ctx, c.client, e.directoryAddress, c.region)
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.listed = addresses, time.Now()
			return
		}
	}
}

func regionDistance(e *node, region string) int {
	if e.region == region {
		return 0
	}
	return 1
}

// classify compares a response with the one that the request must get.
func classify(k requestKind, request standin.Call, response standin.Response) (result, string) {
	switch {
	case response.Err != nil:
		return incomplete, response.Err.Error()
	case response.Status == http.StatusOK:
		return classifySuccess(k, request, response)
	case !response.RequestIDMatches:
		return wrong, fmt.Sprintf("status %d carries the id of request %q", response.Status, response.Header.Get("Request-Id"))
	case notExecutedStatuses[response.Status]:
		return rejected, string(response.Body)
	default:
		return failed, string(response.Body)
	}
}

// notExecutedStatuses are the statuses that guarantee that a request was not executed and
// will not be.
var notExecutedStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

func classifySuccess(k requestKind, request standin.Call, response standin.Response) (result, string) {
	want := standin.PlainResponse(request.Method, request.Path, request.Body)
	if k == kindStream {
		want = nil
		for n := 1; n <= streamEvents; n++ {
			want = append(want, standin.StreamEvent(request.ID, n)...)
		}
	}
	if response.RequestIDMatches && response.Signed && bytes.Equal(response.Body, want) {
		return valid, ""
	}
	return wrong, fmt.Sprintf("own=%t sealed=%t body %q, want %q", response.RequestIDMatches, response.Signed, response.Body, want)
}
