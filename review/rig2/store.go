//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyStore is a stand-in of the platform's store that keeps each write as an event, as PROTOCOL.md tells: a watch
// returns every item as it was written. Its history goes back historyS.
type historyStore struct {
	address string
	server  *http.Server

	mu        sync.Mutex
	items     map[string]storeItem
	events    []storeItem
	revision  int64
	compacted int64
	changed   chan struct{}
	leases    int64
	// watchBytes is the size of the largest response of a watch.
	watchBytes int
}

const historyS = 20 * time.Second

type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
	at             time.Time
}

func startHistoryStore() *historyStore {
	s := &historyStore{items: map[string]storeItem{}, revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// put writes a key and returns its revision; the return is the acknowledgement.
func (s *historyStore) put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(storeItem{Key: key, Value: raw})
}

func (s *historyStore) write(i storeItem) int64 {
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	i.CreateRevision = i.Revision
	if old, ok := s.items[i.Key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyS {
		s.compacted = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return i.Revision
}

func answer(w http.ResponseWriter, value any) int {
	raw, err := json.Marshal(value)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
	return len(raw)
}

func (s *historyStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page, size, more := []storeItem{}, 0, false
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if len(page) >= 500 || (len(page) > 0 && size+len(s.items[key].Value) > 1<<20) {
			more = true
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, map[string]any{"items": page, "hasMore": more, "at": at})
}

func (s *historyStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > historyS {
			s.compacted = s.events[0].Revision
			s.events = s.events[1:]
		}
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				events = append(events, e)
			}
		}
		at, compacted, changed := s.revision, s.compacted, s.changed
		s.mu.Unlock()
		if after < compacted || after > at {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			n := answer(w, map[string]any{"events": events, "at": at})
			s.mu.Lock()
			s.watchBytes = max(s.watchBytes, n)
			s.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *historyStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, i)
}

func (s *historyStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []storeItem `json:"precondition"`
		Puts         []storeItem `json:"puts"`
		Deletes      []string    `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			current := s.items[c.Key]
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": []storeItem{current}})
			return
		}
	}
	revision := s.revision
	for _, p := range t.Puts {
		revision = s.write(storeItem{Key: p.Key, Value: p.Value})
	}
	for _, key := range t.Deletes {
		revision = s.write(storeItem{Key: key, Deleted: true})
	}
	s.mu.Unlock()
	answer(w, map[string]any{"revision": revision})
}

// putJSON writes a key of the project's store as the operator does.
func putJSON(s interface {
	Put(key string, value []byte)
}, key string, value any) {
	raw, err := json.Marshal(value)
	must(err)
	s.Put(key, raw)
}
