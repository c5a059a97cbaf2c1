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

// Request is one request whose right answer is known.
type Request struct {
	Method string
	Path   string
	// Secret is the caller's key; empty on an open route.
	Secret         string
	IdempotencyKey string
	Body           []byte
	// Inference requests go to an engine, all others to a plain service.
	Inference bool
	Stream    bool
	// Timeout is the deadline that the request names; 0 for none.
	Timeout time.Duration
}

// IsWrite reports whether the request must run at most once.
func (r Request) IsWrite() bool { return !r.Inference && r.Method != http.MethodGet }

// Result classifies the answer to a request.
type Result string

// The results. Every request has exactly one.
const (
	// Complete is the whole answer to the very request.
	Complete Result = "complete"
	// Wrong is a whole answer that is not the one to the request.
	Wrong Result = "wrong"
	// Refused is a rejection with a kind and a statement whether the request ran.
	Refused Result = "refused"
	// Broken is no answer, or one that was cut.
	Broken Result = "broken"
)

// Outcome is the judgement of one answer.
type Outcome struct {
	Result Result
	// Kind and Ran are those of a rejection or of a stream that ended with an error event.
	Kind errkind.Kind
	Ran  errkind.Execution
	// Detail describes a result other than Complete.
	Detail string
}

// Send sends r to the entry instance at entryURL and judges the answer.
func Send(ctx context.Context, client *http.Client, entryURL string, r Request) Outcome {
	req, err := http.NewRequestWithContext(ctx, r.Method, entryURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Outcome{Result: Broken, Detail: err.Error()}
	}
	if r.IsWrite() {
		// Without GetBody net/http does not repeat a write on a broken pooled connection.
		req.GetBody = nil
	}
	if r.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+r.Secret)
	}
	if r.IdempotencyKey != "" {
		// The lower-case name keeps net/http from treating the request as repeatable.
		req.Header["idempotency-key"] = []string{r.IdempotencyKey}
	}
	if r.Timeout > 0 {
		req.Header.Set("X-Request-Timeout", strconv.FormatFloat(r.Timeout.Seconds(), 'f', -1, 64))
	}
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Result: Broken, Detail: err.Error()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Result: Broken, Detail: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return rejection(resp.StatusCode, raw)
	}
	return judge(r, resp.Header, raw)
}

// errorBody is the JSON of a rejection and of an error event.
type errorBody struct {
	Error struct {
		Kind    errkind.Kind      `json:"kind"`
		Ran     errkind.Execution `json:"ran"`
		Message string            `json:"message"`
	} `json:"error"`
}

// rejection judges an answer with an error status. One without a known kind and a
// statement whether the request ran is wrong.
func rejection(status int, raw []byte) Outcome {
	var body errorBody
	_ = json.Unmarshal(raw, &body)
	e := body.Error
	known := errkind.ResponseFor(e.Kind).Status == status
	if !known || (e.Ran != errkind.NotExecuted && e.Ran != errkind.Executed && e.Ran != errkind.ExecutionUnknown) {
		return Outcome{Result: Wrong, Detail: "rejection without kind or ran: " + string(raw)}
	}
	return Outcome{Result: Refused, Kind: e.Kind, Ran: e.Ran, Detail: e.Message}
}

// judge compares a whole answer with what the upstream produces for r.
func judge(r Request, header http.Header, raw []byte) Outcome {
	id := header.Get("X-Request-Id")
	if id == "" {
		return Outcome{Result: Wrong, Detail: "answer without X-Request-Id"}
	}
	if !r.Inference {
		return compare(serviceText(r), strings.TrimSpace(string(raw)))
	}
	if r.Stream {
		return judgeStream(r, id, raw)
	}
	var answer standin.Completion
	if err := json.Unmarshal(raw, &answer); err != nil {
		return Outcome{Result: Wrong, Detail: err.Error()}
	}
	if answer.ID != id {
		return Outcome{Result: Wrong, Detail: "answer to request " + answer.ID + " on request " + id}
	}
	return compare(standin.ExpectedText(r.Body), answer.Content())
}

func serviceText(r Request) string {
	raw, _ := json.Marshal(standin.ServiceAnswer{Method: r.Method, Path: r.Path, Body: string(r.Body)})
	return string(raw)
}

func compare(want, got string) Outcome {
	if got != want {
		return Outcome{Result: Wrong, Detail: "want " + want + ", got " + got}
	}
	return Outcome{Result: Complete}
}

// judgeStream requires every token in order and the done event at the end.
func judgeStream(r Request, id string, raw []byte) Outcome {
	text, failure, err := readStream(id, raw)
	if err != nil {
		return Outcome{Result: Wrong, Detail: err.Error()}
	}
	if failure != nil {
		return *failure
	}
	return compare(standin.ExpectedText(r.Body), text)
}

// readStream returns the text of a stream, or the outcome of one that was cut.
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
			return "", nil, eris.New("an event follows the done event")
		}
		if event == "error" {
			return "", cutStream(data), nil
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
			return "", nil, eris.Errorf("event of request %s on request %s", part.ID, id)
		}
		text.WriteString(part.Content())
	}
	if err := lines.Err(); err != nil {
		return "", nil, eris.Wrap(err, "read the events")
	}
	if !done {
		return "", &Outcome{Result: Broken, Detail: "stream without done event"}, nil
	}
	return text.String(), nil, nil
}

// cutStream judges an error event, which must carry a kind and ran as a rejection does.
func cutStream(data string) *Outcome {
	var body errorBody
	_ = json.Unmarshal([]byte(data), &body)
	outcome := rejection(errkind.ResponseFor(body.Error.Kind).Status, []byte(data))
	if outcome.Result == Refused {
		outcome.Result = Broken
	}
	return &outcome
}
