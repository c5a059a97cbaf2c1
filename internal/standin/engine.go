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

// EngineFaults are the fault switches of an engine.
type EngineFaults struct {
	// Fail answers every request with status 500.
	Fail bool `json:"fail"`
	// CutAfterTokens breaks a stream after so many tokens; 0 for never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// CloseAfterTokens ends a stream cleanly, but without [DONE], after so many tokens;
	// 0 for never.
	CloseAfterTokens int `json:"close_after_tokens"`
	// SilentAfterTokens sends nothing more after so many tokens; 0 for never.
	SilentAfterTokens int `json:"silent_after_tokens"`
	// CrossAfterTokens sends an event of another request after so many tokens; 0 for never.
	CrossAfterTokens int `json:"cross_after_tokens"`
	// Endless repeats a large last token until the caller goes.
	Endless bool `json:"endless"`
	// NoResume ignores Last-Event-ID and begins each stream at its first token.
	NoResume bool `json:"no_resume"`
	// Silent accepts requests and never answers.
	Silent bool `json:"silent"`
	// SilentOnReused never answers the second and later requests of a connection.
	SilentOnReused bool `json:"silent_on_reused"`
	// Crossed answers with the id of another request.
	Crossed bool `json:"crossed"`
	// CrossedBody echoes the right id in the header and sends the completion of another
	// request.
	CrossedBody bool `json:"crossed_body"`
	// Swapped answers with the text of another request under the right id, which only
	// a caller that knows the right text notices.
	Swapped bool `json:"swapped"`
	// CrashOn breaks the connection for each request whose body contains the text.
	CrashOn string `json:"crash_on"`
	// DelayMS delays the first token, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Engine is a stand-in of a model engine with the OpenAI-compatible API. Its
// answer is a function of the request body, so that a test can tell whether a
// caller received the answer to its own request.
type Engine struct {
	*Server

	mu       sync.Mutex
	faults   EngineFaults
	record   runRecord
	load     loadHistory
	orders   orderBook
	versions versionBook
	// TokenInterval is the time between two tokens of a stream.
	tokenInterval time.Duration
}

// endlessTokenBytes fills the socket buffers of a caller that does not read soon.
const endlessTokenBytes = 32 << 10

// answerTokens is the length of each answer.
const answerTokens = 16

// StartEngine starts a stand-in at address.
func StartEngine(address string, tokenInterval time.Duration) (*Engine, error) {
	e := &Engine{tokenInterval: tokenInterval}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.load.scheduled(e.versions.faulty(e.complete)))
	mux.HandleFunc("POST /v1/completions", e.load.scheduled(e.versions.faulty(e.complete)))
	mux.HandleFunc("GET /metrics", e.load.serveMetrics)
	e.orders.register(mux)
	mux.HandleFunc("POST /standin/load", serveSwitch(e.load.Set))
	mux.HandleFunc("POST /standin/faults", serveSwitch(e.SetFaults))
	mux.HandleFunc("POST /standin/version", serveSwitch(e.SetVersionFault))
	mux.HandleFunc("GET /standin/runs", e.serveRuns)
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	e.Server = server
	return e, nil
}

// SetFaults replaces the fault switches.
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

// Running returns how many requests run now.
func (e *Engine) Running() int { return e.load.running() }

// ExpectedText returns the text that an engine answers to a request body.
func ExpectedText(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	seed := h.Sum64()
	words := make([]string, answerTokens)
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
	e.record.add(raw)
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
	answer := completion{id: id, model: req.Model, chat: strings.Contains(r.URL.Path, "chat")}
	if faults.Swapped {
		raw = []byte("another request")
	}
	if req.Stream {
		e.stream(w, r, answer, ExpectedText(raw), faults)
		return
	}
	wait(r, e.tokenInterval*answerTokens)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer.whole(ExpectedText(raw)))
}

// injectFaults applies the switches that act before the answer. It reports whether
// the request goes on.
func injectFaults(w http.ResponseWriter, r *http.Request, f EngineFaults, body []byte) bool {
	if f.CrashOn != "" && strings.Contains(string(body), f.CrashOn) {
		panic(http.ErrAbortHandler)
	}
	if later := reused(r); f.Silent || (f.SilentOnReused && later) {
		<-r.Context().Done()
		return false
	}
	wait(r, time.Duration(f.DelayMS)*time.Millisecond)
	if f.Fail {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		http.Error(w, "engine failure", http.StatusInternalServerError)
		return false
	}
	return true
}

func wait(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}

// resumeAt returns the index of the first token of a stream, which a request may
// move with the header Last-Event-ID.
func resumeAt(r *http.Request, f EngineFaults) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || f.NoResume {
		return 0
	}
	return last + 1
}

// injectStreamFaults applies the switches that act before token i. It reports
// whether the stream goes on.
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

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, answer completion, text string, f EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	first := resumeAt(r, f)
	for i, token := range strings.SplitAfter(text, " ") {
		if i < first {
			continue
		}
		if !injectStreamFaults(w, r, f, i) {
			return
		}
		if f.CrossAfterTokens > 0 && i >= f.CrossAfterTokens {
			answer.id = "another-request"
		}
		raw, _ := json.Marshal(answer.part(token))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, raw); err != nil {
			return
		}
		_ = controller.Flush()
		wait(r, e.tokenInterval)
	}
	for i := answerTokens; f.Endless && r.Context().Err() == nil; i++ {
		raw, _ := json.Marshal(answer.part(strings.Repeat("x", endlessTokenBytes)))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, raw)
		_ = controller.Flush()
		wait(r, e.tokenInterval)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
