package devcluster

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

	"github.com/rotisserie/eris"

	"heatherloom/internal/errkind"
	"heatherloom/internal/standin"
)

// Request is a request whose expected response is known.
type Request struct {
	Method string
	Path   string
	// Secret is the API key; empty on a public route.
	Secret         string
	IdempotencyKey string
	Body           []byte
	// Inference is true for requests to an engine and false for requests to a service.
	Inference bool
	Stream    bool
	// Timeout is sent in X-Request-Timeout; 0 for none.
	Timeout time.Duration
}

// IsWrite reports whether the request must be executed at most once.
func (r Request) IsWrite() bool { return !r.Inference && r.Method != http.MethodGet }

// Result classifies the response to a request.
type Result string

// The results. Every request has exactly one.
const (
	// ResultComplete is a complete response with the expected content.
	ResultComplete Result = "complete"
	// ResultWrong is a complete response with unexpected content.
	ResultWrong Result = "wrong"
	// ResultRejected is a rejection with a kind that states whether the request was executed.
	ResultRejected Result = "refused"
	// ResultIncomplete is a missing or truncated response.
	ResultIncomplete Result = "broken"
)

// Outcome is the result of one attempt.
type Outcome struct {
	Result Result
	// Kind and Execution are taken from a rejection or from the error event that ended a
	// stream.
	Kind      errkind.Kind
	Execution errkind.Execution
	// Detail describes a result other than ResultComplete.
	Detail string
}

// Send sends r to the entry instance at entryURL and evaluates the response.
func Send(ctx context.Context, client *http.Client, entryURL string, r Request) Outcome {
	req, err := http.NewRequestWithContext(ctx, r.Method, entryURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Outcome{Result: ResultIncomplete, Detail: err.Error()}
	}
	if r.IsWrite() {
		// Without GetBody, net/http does not retry a write after a pooled connection breaks.
		req.GetBody = nil
	}
	if r.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+r.Secret)
	}
	if r.IdempotencyKey != "" {
		// The lower-case name prevents net/http from treating the request as replayable.
		req.Header["idempotency-key"] = []string{r.IdempotencyKey}
	}
	if r.Timeout > 0 {
		req.Header.Set("X-Request-Timeout", strconv.FormatFloat(r.Timeout.Seconds(), 'f', -1, 64))
	}
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Result: ResultIncomplete, Detail: err.Error()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Result: ResultIncomplete, Detail: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return evaluateRejection(resp.StatusCode, raw)
	}
	return evaluateResponse(r, resp.Header, raw)
}

// errorBody is the JSON body of a rejection or of an error event.
type errorBody struct {
	Error struct {
		Kind    errkind.Kind      `json:"kind"`
		Ran     errkind.Execution `json:"ran"`
		Message string            `json:"message"`
	} `json:"error"`
}

// evaluateRejection evaluates a response with an error status. It is wrong unless it has
// the status of its kind and states whether the request was executed.
func evaluateRejection(status int, raw []byte) Outcome {
	var body errorBody
	_ = json.Unmarshal(raw, &body)
	e := body.Error
	statusMatches := errkind.ResponseFor(e.Kind).Status == status
	if !statusMatches || (e.Ran != errkind.NotExecuted && e.Ran != errkind.Executed && e.Ran != errkind.ExecutionUnknown) {
		return Outcome{Result: ResultWrong, Detail: "rejection without a matching kind or without ran: " + string(raw)}
	}
	return Outcome{Result: ResultRejected, Kind: e.Kind, Execution: e.Ran, Detail: e.Message}
}

// evaluateResponse compares a complete response with the one that the upstream produces
// for r.
func evaluateResponse(r Request, header http.Header, raw []byte) Outcome {
	id := header.Get("X-Request-Id")
	if id == "" {
		return Outcome{Result: ResultWrong, Detail: "response without X-Request-Id"}
	}
	if !r.Inference {
		return compareText(expectedServiceBody(r), strings.TrimSpace(string(raw)))
	}
	if r.Stream {
		return evaluateStream(r, id, raw)
	}
	var completion standin.Completion
	if err := json.Unmarshal(raw, &completion); err != nil {
		return Outcome{Result: ResultWrong, Detail: err.Error()}
	}
	if completion.ID != id {
		return Outcome{Result: ResultWrong, Detail: "response to request " + completion.ID + " received for request " + id}
	}
	return compareText(standin.ExpectedText(r.Body), completion.Content())
}

func expectedServiceBody(r Request) string {
	raw, _ := json.Marshal(standin.ServiceResponse{Method: r.Method, Path: r.Path, Body: string(r.Body)})
	return string(raw)
}

func compareText(want, got string) Outcome {
	if got != want {
		return Outcome{Result: ResultWrong, Detail: "want " + want + ", got " + got}
	}
	return Outcome{Result: ResultComplete}
}

// evaluateStream requires all tokens in order, followed by [DONE].
func evaluateStream(r Request, id string, raw []byte) Outcome {
	text, failure, err := readStream(id, raw)
	if err != nil {
		return Outcome{Result: ResultWrong, Detail: err.Error()}
	}
	if failure != nil {
		return *failure
	}
	return compareText(standin.ExpectedText(r.Body), text)
}

// readStream returns the text of a stream, or the outcome of a truncated one.
func readStream(id string, raw []byte) (string, *Outcome, error) {
	var text strings.Builder
	event, done := "", false
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if done {
			return "", nil, eris.New("an event follows [DONE]")
		}
		if event == "error" {
			return "", evaluateErrorEvent(data), nil
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var part standin.Completion
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return "", nil, eris.Wrap(err, "decode an event")
		}
		if part.ID != id {
			return "", nil, eris.Errorf("event of request %s received for request %s", part.ID, id)
		}
		text.WriteString(part.Content())
	}
	if err := lines.Err(); err != nil {
		return "", nil, eris.Wrap(err, "read the events")
	}
	if !done {
		return "", &Outcome{Result: ResultIncomplete, Detail: "stream ended without [DONE]"}, nil
	}
	return text.String(), nil, nil
}

// evaluateErrorEvent evaluates the error event of a truncated stream, which must have
// a kind and an execution status like a rejection.
func evaluateErrorEvent(data string) *Outcome {
	var body errorBody
	_ = json.Unmarshal([]byte(data), &body)
	outcome := evaluateRejection(errkind.ResponseFor(body.Error.Kind).Status, []byte(data))
	if outcome.Result == ResultRejected {
		outcome.Result = ResultIncomplete
	}
	return &outcome
}
