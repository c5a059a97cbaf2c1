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

// Outcomes of requests other than rejections, whose outcome is the error kind.
const (
	outcomeDone       = "done"
	outcomeIncomplete = "incomplete"
	outcomeWrong      = "wrong"
)

// sample is the result of one request as its caller measured it. Times are wall clock time.
type sample struct {
	arrival *arrival
	sent    time.Duration
	// ttft and latency are measured from the planned time, so that a late send does not
	// hide a delay; ttft is 0 without a first token.
	ttft, latency time.Duration
	tokenGaps     []time.Duration
	outcome       string
	rejected      bool
	ended         time.Duration
}

// requestTimeout is the timeout that callers send with each request, in wall clock seconds.
const requestTimeout = 10

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true}}
}

// send sends the request of an arrival and reads its response. start is the start time of
// the run.
func send(ctx context.Context, client *http.Client, url string, p Profile, b *bodyBuilder, a *arrival, start time.Time) sample {
	body := b.body(a)
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
	s.latency = s.ended - a.at
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
	req.Header.Set("Authorization", "Bearer "+apiKeyOf(p.Accounts[a.account].Name))
	req.Header.Set("X-Request-Timeout", strconv.Itoa(requestTimeout))
	req.Header.Set("Content-Type", "application/json")
	if a.kind == kindWrite {
		req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	}
	return req, nil
}

func (s *sample) read(resp *http.Response, a *arrival, body string, start time.Time) {
	if resp.StatusCode != http.StatusOK {
		s.outcome = rejectionKind(resp)
		s.rejected = true
		return
	}
	if a.kind == kindStatus || a.kind == kindWrite {
		s.outcome = checkService(resp.Body, a, body)
		return
	}
	s.readStream(resp.Body, []byte(body), start)
}

func rejectionKind(resp *http.Response) string {
	var rejection struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if json.NewDecoder(resp.Body).Decode(&rejection) != nil || rejection.Error.Kind == "" {
		return "status_" + strconv.Itoa(resp.StatusCode)
	}
	return rejection.Error.Kind
}

// checkService checks that the response of a plain service belongs to the request.
func checkService(body io.Reader, a *arrival, requestBody string) string {
	raw, err := io.ReadAll(body)
	if err != nil {
		return outcomeIncomplete
	}
	var response standin.ServiceResponse
	if json.Unmarshal(raw, &response) != nil {
		return outcomeWrong
	}
	if a.kind == kindWrite && response.Body != requestBody {
		return outcomeWrong
	}
	if a.kind == kindStatus && response.Path != routeStatus+"/"+strconv.Itoa(a.number) {
		return outcomeWrong
	}
	return outcomeDone
}

// readStream checks that each token of the response arrives once and in order.
func (s *sample) readStream(body io.Reader, requestBody []byte, start time.Time) {
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
			if s.outcome = outcomeDone; i != s.arrival.answerTokens {
				s.outcome = outcomeWrong
			}
			return
		}
		var event standin.Completion
		if json.Unmarshal(data, &event) != nil || event.Content() == "" {
			return // an error event: the outcome stays incomplete
		}
		if event.Content() != standin.SimulatedToken(requestBody, i) {
			s.outcome = outcomeWrong
			return
		}
		now := time.Since(start)
		if i == 0 {
			s.ttft = now - s.arrival.at
		} else {
			s.tokenGaps = append(s.tokenGaps, now-last)
		}
		last = now
		i++
	}
}
