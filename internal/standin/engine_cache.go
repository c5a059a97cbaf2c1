package standin

import (
	"container/list"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CacheSwitches set the prefix cache of an engine and its events.
type CacheSwitches struct {
	// Blocks is the number of prefix blocks that the cache holds; 0 for no cache.
	Blocks int `json:"blocks"`
	// DelayMS is how late events are sent, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// GapEvery leaves out each event whose number it divides; 0 for none.
	GapEvery uint64 `json:"gap_every"`
}

// CacheEvent is one change of the prefix cache. A number that does not follow the
// one before shows a gap.
type CacheEvent struct {
	Number  uint64   `json:"number"`
	Stored  []string `json:"stored,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

const (
	// cacheBlockBytes is the part of a prompt that one block covers.
	cacheBlockBytes = 256
	// maxCacheEvents bounds the events that a late reader can catch up with.
	maxCacheEvents = 4096
)

type timedCacheEvent struct {
	event CacheEvent
	at    time.Time
}

// prefixCache is an LRU cache of prompt prefixes. A block's name depends on all text
// before its end.
type prefixCache struct {
	mu       sync.Mutex
	switches CacheSwitches
	// recent holds block names, the latest used first.
	recent  list.List
	blocks  map[string]*list.Element
	events  []timedCacheEvent
	number  uint64
	changed chan struct{}
}

// SetCache replaces the switches of the prefix cache.
func (e *Engine) SetCache(s CacheSwitches) { e.cache.Set(s) }

// Set replaces the switches.
func (c *prefixCache) Set(s CacheSwitches) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.switches = s
}

func (c *prefixCache) register(mux *http.ServeMux) {
	c.blocks = map[string]*list.Element{}
	c.changed = make(chan struct{})
	mux.HandleFunc("GET /v1/cache/events", c.serveEvents)
	mux.HandleFunc("POST /standin/cache", serveSwitch(c.Set))
}

// promptOf returns the text whose prefix an engine caches.
func promptOf(body []byte) string {
	var request struct {
		Prompt   string    `json:"prompt"`
		Messages []Message `json:"messages"`
	}
	_ = json.Unmarshal(body, &request)
	var text strings.Builder
	text.WriteString(request.Prompt)
	for _, m := range request.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

// PrefixBlocks returns the names of the whole blocks of a request body.
func PrefixBlocks(body []byte) []string {
	prompt := promptOf(body)
	hash := fnv.New64a()
	var names []string
	for len(prompt) >= cacheBlockBytes {
		_, _ = hash.Write([]byte(prompt[:cacheBlockBytes]))
		prompt = prompt[cacheBlockBytes:]
		names = append(names, strconv.FormatUint(hash.Sum64(), 16))
	}
	return names
}

// touch stores the blocks of a request and records what changed.
func (c *prefixCache) touch(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.switches.Blocks <= 0 {
		return
	}
	var event CacheEvent
	for _, name := range PrefixBlocks(body) {
		if element, ok := c.blocks[name]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[name] = c.recent.PushFront(name)
		event.Stored = append(event.Stored, name)
	}
	for c.recent.Len() > c.switches.Blocks {
		name := c.recent.Remove(c.recent.Back()).(string)
		delete(c.blocks, name)
		event.Removed = append(event.Removed, name)
	}
	if len(event.Stored)+len(event.Removed) > 0 {
		c.publish(event)
	}
}

// publish numbers an event. The lock is held.
func (c *prefixCache) publish(event CacheEvent) {
	c.number++
	if c.switches.GapEvery > 0 && c.number%c.switches.GapEvery == 0 {
		return
	}
	event.Number = c.number
	c.events = append(c.events, timedCacheEvent{event: event, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// next returns the first event after a number, the wait until it may be sent, and a
// channel that is closed when there are new events.
func (c *prefixCache) next(after uint64) (*CacheEvent, time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := time.Duration(c.switches.DelayMS) * time.Millisecond
	for _, e := range c.events {
		if e.event.Number > after {
			event := e.event
			return &event, time.Until(e.at.Add(delay)), c.changed
		}
	}
	return nil, 0, c.changed
}

// serveEvents sends the events as server-sent events from Last-Event-ID on.
func (c *prefixCache) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for r.Context().Err() == nil {
		event, delay, changed := c.next(after)
		if event == nil {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			continue
		}
		wait(r, delay)
		raw, _ := json.Marshal(event)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number, raw); err != nil {
			return
		}
		_ = controller.Flush()
		after = event.Number
	}
}
