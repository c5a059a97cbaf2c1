package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineFaults are the injected faults of an engine.
type EngineFaults struct {
	// Fail responds to every request with status 500.
	Fail bool `json:"fail"`
	// CutAfterTokens aborts the connection after this many tokens; 0 for never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// CloseAfterTokens ends a stream cleanly, but without [DONE], after this many tokens;
	// 0 for never.
	CloseAfterTokens int `json:"close_after_tokens"`
	// SilentAfterTokens stalls a stream after this many tokens; 0 for never.
	SilentAfterTokens int `json:"silent_after_tokens"`
	// CrossAfterTokens sends events with the id of another request after this many tokens;
	// 0 for never.
	CrossAfterTokens int `json:"cross_after_tokens"`
	// Endless repeats a large last token until the caller disconnects.
	Endless bool `json:"endless"`
	// NoResume ignores Last-Event-ID and starts each stream at its first token.
	NoResume bool `json:"no_resume"`
	// Silent accepts requests and never responds.
	Silent bool `json:"silent"`
	// SilentOnReused never responds to the second and later requests of a connection.
	SilentOnReused bool `json:"silent_on_reused"`
	// Crossed responds with the id of another request.
	Crossed bool `json:"crossed"`
	// CrossedBody echoes the correct id in the header and sends a completion with the id of
	// another request.
	CrossedBody bool `json:"crossed_body"`
	// Swapped responds with the text of another request under the correct id, which only
	// a caller that knows the expected text can detect.
	Swapped bool `json:"swapped"`
	// CrashOn aborts the connection of each request whose body contains the text.
	CrashOn string `json:"crash_on"`
	// DelayMS delays the first token, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Engine is a stand-in for a model engine with the OpenAI-compatible API. Its
// response is a function of the request body, so that a test can check whether a
// caller received the response to its own request.
type Engine struct {
	*Server

	mu         sync.Mutex
	faults     EngineFaults
	executions executionCounter
	scheduler  scheduler
	orders     orderState
	versions   versionState
	// tokenInterval is the time between two tokens of a stream.
	tokenInterval time.Duration
}

// endlessTokenBytes is large enough to fill the socket buffers of a slow reader soon.
const endlessTokenBytes = 32 << 10

// responseTokens is the length of each response.
const responseTokens = 16

// StartEngine starts a stand-in at address.
func StartEngine(address string, tokenInterval time.Duration) (*Engine, error) {
	e := &Engine{tokenInterval: tokenInterval}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.scheduler.limit(e.versions.withFaults(e.complete)))
	mux.HandleFunc("POST /v1/completions", e.scheduler.limit(e.versions.withFaults(e.complete)))
	mux.HandleFunc("GET /metrics", e.scheduler.serveMetrics)
	e.orders.register(mux)
	mux.HandleFunc("POST /standin/load", serveSet(e.scheduler.Set))
	mux.HandleFunc("POST /standin/faults", serveSet(e.SetFaults))
	mux.HandleFunc("POST /standin/version", serveSet(e.SetVersionFault))
	mux.HandleFunc("GET /standin/runs", e.serveExecutions)
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	e.Server = server
	return e, nil
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// RunningRequests returns the number of requests in progress.
func (e *Engine) RunningRequests() int { return e.scheduler.running() }

// ExpectedText returns the text with which an engine responds to a request body.
func ExpectedText(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	seed := h.Sum64()
	words := make([]string, responseTokens)
	for i := range words {
		words[i] = fmt.Sprintf("w%x-%d", seed&0xffffff, i)
	}
	return strings.Join(words, " ")
}

// engineRequest holds the fields of a request that the stand-in reads.
type engineRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, req, err := decodeBody[engineRequest](w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.executions.add(raw)
	faults := e.currentFaults()
	id := r.Header.Get("X-Request-Id")
	if !injectFaults(w, r, faults, raw) {
		return
	}
	if faults.Crossed {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	if faults.CrossedBody {
		id = "another-request"
	}
	response := completion{id: id, model: req.Model, chat: strings.Contains(r.URL.Path, "chat")}
	if faults.Swapped {
		raw = []byte("another request")
	}
	if req.Stream {
		e.stream(w, r, response, ExpectedText(raw), faults)
		return
	}
	sleep(r, e.tokenInterval*responseTokens)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response.complete(ExpectedText(raw)))
}

// injectFaults applies the faults that take effect before the response. It reports
// whether the request continues.
func injectFaults(w http.ResponseWriter, r *http.Request, f EngineFaults, body []byte) bool {
	if f.CrashOn != "" && strings.Contains(string(body), f.CrashOn) {
		panic(http.ErrAbortHandler)
	}
	if reusedConn := reused(r); f.Silent || (f.SilentOnReused && reusedConn) {
		<-r.Context().Done()
		return false
	}
	sleep(r, time.Duration(f.DelayMS)*time.Millisecond)
	if f.Fail {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		http.Error(w, "engine failure", http.StatusInternalServerError)
		return false
	}
	return true
}

func sleep(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}

// firstTokenIndex returns the index of the first token of a stream, which depends on the
// header Last-Event-ID.
func firstTokenIndex(r *http.Request, f EngineFaults) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || f.NoResume {
		return 0
	}
	return last + 1
}

// injectStreamFaults applies the faults that take effect before token i. It reports
// whether the stream continues.
func injectStreamFaults(w http.ResponseWriter, r *http.Request, f EngineFaults, i int) bool {
	if f.CutAfterTokens > 0 && i >= f.CutAfterTokens {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if f.SilentAfterTokens > 0 && i >= f.SilentAfterTokens {
		<-r.Context().Done()
		return false
	}
	return f.CloseAfterTokens == 0 || i < f.CloseAfterTokens
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, response completion, text string, f EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	first := firstTokenIndex(r, f)
	for i, token := range strings.SplitAfter(text, " ") {
		if i < first {
			continue
		}
		if !injectStreamFaults(w, r, f, i) {
			return
		}
		if f.CrossAfterTokens > 0 && i >= f.CrossAfterTokens {
			response.id = "another-request"
		}
		raw, _ := json.Marshal(response.event(token))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, raw); err != nil {
			return
		}
		_ = controller.Flush()
		sleep(r, e.tokenInterval)
	}
	for i := responseTokens; f.Endless && r.Context().Err() == nil; i++ {
		raw, _ := json.Marshal(response.event(strings.Repeat("x", endlessTokenBytes)))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, raw)
		_ = controller.Flush()
		sleep(r, e.tokenInterval)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
