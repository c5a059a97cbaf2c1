package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"heatherloom/internal/standin"
)

// Outcomes of requests besides the kinds of refusals.
const (
	outcomeDone       = "done"
	outcomeIncomplete = "incomplete"
	outcomeWrong      = "wrong"
)

// sample is what the caller of one request saw. Times are clock time.
type sample struct {
	arrival *arrival
	sent    time.Duration
	// first and end count from the planned time, so that a late sender does not hide
	// a wait; first is 0 without an answer.
	first, end time.Duration
	gaps       []time.Duration
	outcome    string
	refused    bool
	ended      time.Duration
}

// requestTimeout is what callers allow for one request, in seconds of the clock.
const requestTimeout = 10

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true}}
}

// send makes the request of an arrival and reads its answer. start is the beginning of
// the run.
func send(ctx context.Context, client *http.Client, url string, p Profile, t *texts, a *arrival, start time.Time) sample {
	body := t.body(a)
	s := sample{arrival: a, sent: time.Since(start), outcome: outcomeIncomplete}
	req, err := newRequest(ctx, url, p, a, body)
	if err != nil {
		return s
	}
	resp, err := client.Do(req)
	if err == nil {
		s.read(resp, a, body, start)
		_ = resp.Body.Close()
	}
	s.ended = time.Since(start)
	s.end = s.ended - a.at
	return s
}

func newRequest(ctx context.Context, url string, p Profile, a *arrival, body string) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	switch a.kind {
	case kindStatus:
		method, path = http.MethodGet, routeStatus+"/"+strconv.Itoa(a.number)
	case kindWrite:
		path = routeOrders
	}
	req, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+secretOf(p.Accounts[a.account].Name))
	req.Header.Set("X-Request-Timeout", strconv.Itoa(requestTimeout))
	req.Header.Set("Content-Type", "application/json")
	if a.kind == kindWrite {
		req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	}
	return req, nil
}

func (s *sample) read(resp *http.Response, a *arrival, body string, start time.Time) {
	if resp.StatusCode != http.StatusOK {
		s.outcome = refusalKind(resp)
		s.refused = true
		return
	}
	if a.kind == kindStatus || a.kind == kindWrite {
		s.outcome = checkService(resp.Body, a, body)
		return
	}
	s.readStream(resp.Body, []byte(body), start)
}

func refusalKind(resp *http.Response) string {
	var refusal struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if json.NewDecoder(resp.Body).Decode(&refusal) != nil || refusal.Error.Kind == "" {
		return "status_" + strconv.Itoa(resp.StatusCode)
	}
	return refusal.Error.Kind
}

// checkService compares the answer of a plain service with the request.
func checkService(body io.Reader, a *arrival, sent string) string {
	raw, err := io.ReadAll(body)
	if err != nil {
		return outcomeIncomplete
	}
	var answer standin.ServiceAnswer
	if json.Unmarshal(raw, &answer) != nil {
		return outcomeWrong
	}
	if a.kind == kindWrite && answer.Body != sent {
		return outcomeWrong
	}
	if a.kind == kindStatus && answer.Path != routeStatus+"/"+strconv.Itoa(a.number) {
		return outcomeWrong
	}
	return outcomeDone
}

// readStream checks that each token of the answer arrives once and in order.
func (s *sample) readStream(body io.Reader, sent []byte, start time.Time) {
	lines := bufio.NewReader(body)
	last := time.Duration(0)
	for i := 0; ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\n"), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			if s.outcome = outcomeDone; i != s.arrival.answer {
				s.outcome = outcomeWrong
			}
			return
		}
		var part standin.Completion
		if json.Unmarshal(data, &part) != nil || part.Content() == "" {
			return // an error event: the answer stays incomplete
		}
		if part.Content() != standin.ModelToken(sent, i) {
			s.outcome = outcomeWrong
			return
		}
		now := time.Since(start)
		if i == 0 {
			s.first = now - s.arrival.at
		} else {
			s.gaps = append(s.gaps, now-last)
		}
		last = now
		i++
	}
}
