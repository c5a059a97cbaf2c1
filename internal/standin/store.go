package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw/wire"
)

// StoreFaults are the injected faults of the key-value service.
type StoreFaults struct {
	// Outage makes every call fail as unavailable and aborts every watch.
	Outage bool `json:"outage"`
	// DelayMS delays each response, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// DropResponses is the number of writes that take effect and get no response.
	DropResponses int `json:"lose_answers"`
	// WritesPerSecond and ReadsPerSecond limit the call rates; calls above the limit get
	// status 429; 0 for no limit. A lease call counts as a write and the start of a watch
	// as a read.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// maxTxnBytes limits the size of a request, as the real service does.
const maxTxnBytes = 3 << 20

type storeEvent struct {
	revision int64
	event    wire.Event
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Store is a stand-in for the key-value service. It keeps its data in memory and serves
// the API of the etcd v3 JSON gateway.
type Store struct {
	*Server

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	keys     map[string]wire.KeyValue
	log      []storeEvent
	leases   map[int64]*storeLease
	nextID   int64
	faults   StoreFaults
	calls    map[string]int64
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// StartStore starts a stand-in at address.
func StartStore(address string) (*Store, error) {
	s := &Store{
		changed:  make(chan struct{}),
		revision: 1,
		keys:     map[string]wire.KeyValue{},
		leases:   map[int64]*storeLease{},
		nextID:   1000,
		calls:    map[string]int64{},
		writes:   newCallLimiter(),
		reads:    newCallLimiter(),
	}
	mux := http.NewServeMux()
	handle(mux, s, wire.PathRange, s.rangeKeys)
	handle(mux, s, wire.PathTxn, s.txn)
	handle(mux, s, wire.PathGrant, s.grant)
	handle(mux, s, wire.PathKeepAlive, s.keepAlive)
	handle(mux, s, wire.PathRevoke, s.revoke)
	mux.HandleFunc(wire.PathWatch, s.watch)
	mux.HandleFunc("POST /standin/faults", serveSet(s.SetFaults))
	mux.HandleFunc("GET /standin/calls", s.serveCalls)
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	setCallLimit(s.writes, f.WritesPerSecond)
	setCallLimit(s.reads, f.ReadsPerSecond)
	s.notify()
}

// Calls returns the number of calls by path since the start.
func (s *Store) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int64, len(s.calls))
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

// handle registers a handler that decodes a request, applies the injected faults and
// encodes the response.
func handle[Req, Resp any](mux *http.ServeMux, s *Store, path string, fn func(Req) (Resp, *wire.Status)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, path) {
			return
		}
		var req Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxnBytes)).Decode(&req); err != nil {
			writeStatus(w, wire.Status{Code: wire.CodeInvalidArgument, Message: err.Error()})
			return
		}
		s.mu.Lock()
		s.expireLeases(time.Now())
		resp, status := fn(req)
		lost := path == wire.PathTxn && s.faults.DropResponses > 0
		if lost {
			s.faults.DropResponses--
		}
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if status != nil {
			writeStatus(w, *status)
			return
		}
		_ = json.NewEncoder(w).Encode(resp)
	})
}

// admit counts the call, applies outage, rate limits and delay, and reports whether the
// call continues.
func (s *Store) admit(w http.ResponseWriter, path string) bool {
	s.mu.Lock()
	s.calls[path]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		writeStatus(w, wire.Status{Code: wire.CodeUnavailable, Message: "unavailable"})
		return false
	}
	if !s.limiterOf(path).Allow() {
		writeStatus(w, wire.Status{Code: wire.CodeResourceExhausted, Message: "too many requests"})
		return false
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	return true
}

func (s *Store) limiterOf(path string) *rate.Limiter {
	if path == wire.PathRange || path == wire.PathWatch {
		return s.reads
	}
	return s.writes
}

// newCallLimiter returns a limiter without a limit.
func newCallLimiter() *rate.Limiter { return rate.NewLimiter(rate.Inf, 1) }

// setCallLimit sets a limit of perSecond calls with a burst of a tenth of them; 0 for no
// limit.
func setCallLimit(l *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetBurst(max(1, int(perSecond/10)))
	l.SetLimit(rate.Limit(perSecond))
}

// statusCodes maps gRPC status codes to HTTP as the gateway of etcd does.
var statusCodes = map[int]int{
	wire.CodeInvalidArgument:   http.StatusBadRequest,
	wire.CodeNotFound:          http.StatusNotFound,
	wire.CodeResourceExhausted: http.StatusTooManyRequests,
	wire.CodeUnavailable:       http.StatusServiceUnavailable,
}

func writeStatus(w http.ResponseWriter, status wire.Status) {
	w.WriteHeader(statusCodes[status.Code])
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Store) rangeKeys(req wire.RangeRequest) (wire.RangeResponse, *wire.Status) {
	resp := wire.RangeResponse{Header: wire.Header{Revision: s.revision}}
	if len(req.RangeEnd) == 0 {
		if kv, ok := s.keys[string(req.Key)]; ok {
			resp.Kvs = append(resp.Kvs, kv)
		}
		return resp, nil
	}
	for key, kv := range s.keys {
		if key >= string(req.Key) && key < string(req.RangeEnd) {
			resp.Kvs = append(resp.Kvs, kv)
		}
	}
	sort.Slice(resp.Kvs, func(i, j int) bool { return string(resp.Kvs[i].Key) < string(resp.Kvs[j].Key) })
	if req.Limit > 0 && int64(len(resp.Kvs)) > req.Limit {
		resp.Kvs = resp.Kvs[:req.Limit]
	}
	return resp, nil
}

func (s *Store) txn(req wire.TxnRequest) (wire.TxnResponse, *wire.Status) {
	for _, c := range req.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			return wire.TxnResponse{Header: wire.Header{Revision: s.revision}}, nil
		}
	}
	for _, op := range req.Success {
		if op.Put != nil && len(op.Put.Value) > external.MaxValueBytes {
			message := fmt.Sprintf("value of %d bytes exceeds the limit of %d", len(op.Put.Value), external.MaxValueBytes)
			return wire.TxnResponse{}, &wire.Status{Code: wire.CodeInvalidArgument, Message: message}
		}
		if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
			return wire.TxnResponse{}, &wire.Status{Code: wire.CodeNotFound, Message: "requested lease not found"}
		}
	}
	s.revision++
	for _, op := range req.Success {
		s.applyOp(op)
	}
	s.notify()
	return wire.TxnResponse{Header: wire.Header{Revision: s.revision}, Succeeded: true}, nil
}

func (s *Store) applyOp(op wire.RequestOp) {
	if op.Delete != nil {
		s.deleteRange(*op.Delete)
		return
	}
	kv := wire.KeyValue{Key: op.Put.Key, Value: op.Put.Value, ModRevision: s.revision, Lease: op.Put.Lease}
	s.detachLease(string(op.Put.Key))
	s.keys[string(op.Put.Key)] = kv
	if lease := s.leases[op.Put.Lease]; lease != nil {
		lease.keys[string(op.Put.Key)] = struct{}{}
	}
	s.log = append(s.log, storeEvent{revision: s.revision, event: wire.Event{Kv: kv}})
}

func (s *Store) deleteRange(req wire.DeleteRequest) {
	if len(req.RangeEnd) == 0 {
		s.delete(string(req.Key))
		return
	}
	for key := range s.keys {
		if key >= string(req.Key) && key < string(req.RangeEnd) {
			s.delete(key)
		}
	}
}

func (s *Store) detachLease(key string) {
	if lease := s.leases[s.keys[key].Lease]; lease != nil {
		delete(lease.keys, key)
	}
}

func (s *Store) delete(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	s.detachLease(key)
	delete(s.keys, key)
	kv := wire.KeyValue{Key: []byte(key), ModRevision: s.revision}
	s.log = append(s.log, storeEvent{revision: s.revision, event: wire.Event{Type: wire.EventDelete, Kv: kv}})
}

func (s *Store) grant(req wire.LeaseRequest) (wire.LeaseResponse, *wire.Status) {
	s.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[s.nextID] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]struct{}{}}
	return wire.LeaseResponse{ID: s.nextID, TTL: req.TTL}, nil
}

func (s *Store) keepAlive(req wire.LeaseRequest) (wire.KeepAliveResponse, *wire.Status) {
	lease := s.leases[req.ID]
	if lease == nil {
		return wire.KeepAliveResponse{Result: wire.LeaseResponse{ID: req.ID}}, nil
	}
	lease.expires = time.Now().Add(lease.ttl)
	return wire.KeepAliveResponse{Result: wire.LeaseResponse{ID: req.ID, TTL: int64(lease.ttl / time.Second)}}, nil
}

func (s *Store) revoke(req wire.LeaseRequest) (wire.LeaseResponse, *wire.Status) {
	if s.leases[req.ID] == nil {
		return wire.LeaseResponse{}, &wire.Status{Code: wire.CodeNotFound, Message: "requested lease not found"}
	}
	s.endLease(req.ID)
	return wire.LeaseResponse{ID: req.ID}, nil
}

func (s *Store) endLease(id int64) {
	lease := s.leases[id]
	s.revision++
	for key := range lease.keys {
		s.delete(key)
	}
	delete(s.leases, id)
	s.notify()
}

func (s *Store) expireLeases(now time.Time) {
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

// notify wakes up all watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watchPollInterval bounds the delay until a watch observes an expired lease.
const watchPollInterval = 200 * time.Millisecond

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, wire.PathWatch) {
		return
	}
	var req wire.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeStatus(w, wire.Status{Code: wire.CodeInvalidArgument, Message: err.Error()})
		return
	}
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	_ = encoder.Encode(wire.WatchResponse{Result: wire.WatchResult{Created: true}})
	_ = controller.Flush()
	next := req.Create.StartRevision
	for {
		events, revision, changed, outage := s.eventsFrom(req.Create, next)
		if outage {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			result := wire.WatchResult{Header: wire.Header{Revision: revision}, Events: events}
			if err := encoder.Encode(wire.WatchResponse{Result: result}); err != nil {
				return
			}
			_ = controller.Flush()
		}
		next = revision + 1
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(watchPollInterval):
		}
	}
}

// eventsFrom returns the events of the watched range from revision next on.
func (s *Store) eventsFrom(create wire.WatchCreate, next int64) ([]wire.Event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision >= next })
	var events []wire.Event
	for _, e := range s.log[start:] {
		key := string(e.event.Kv.Key)
		if key >= string(create.Key) && key < string(create.RangeEnd) {
			events = append(events, e.event)
		}
	}
	return events, s.revision, s.changed, s.faults.Outage
}
