package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"heatherloom/internal/errkind"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the arrival of a body, so that slow senders do not hold memory.
	bodyTimeout = 30 * time.Second
)

// readBody reads the body up to maxBodyBytes.
func readBody(c *call) *errkind.Error {
	if c.r.ContentLength > maxBodyBytes {
		return tooLarge()
	}
	_ = c.sink.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, maxBodyBytes))
	// A read deadline that stays set would end the request context when it passes.
	_ = c.sink.control.SetReadDeadline(time.Time{})
	var limit *http.MaxBytesError
	switch {
	case errors.As(err, &limit):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "the body did not arrive within %s", bodyTimeout)
	case err != nil:
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "the body could not be read in full")
	}
	c.body = body
	c.bodyRead = true
	return nil
}

func tooLarge() *errkind.Error {
	return errkind.New(errkind.BodyTooLarge, "the body exceeds the limit of %d bytes", maxBodyBytes)
}

// inferenceBody holds the fields of a completion request that the gateway reads.
type inferenceBody struct {
	Model  string
	Stream bool
	// Content is the field with the question.
	Content json.RawMessage
}

// parseInference checks the body of a completion request. content names the field
// with the question: messages or prompt.
func parseInference(raw []byte, content string) (inferenceBody, *errkind.Error) {
	var body inferenceBody
	// Fields are matched by their exact names, as engines do; encoding/json would
	// also match "Model".
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return body, malformed("the body must be a JSON object with the fields model and %s%s", content, reason(err))
	}
	model, ok := fields["model"]
	if !ok {
		return body, malformed("the body must name a model in the field model; GET /v1/models lists them")
	}
	if err := json.Unmarshal(model, &body.Model); err != nil || body.Model == "" {
		return body, malformed("the field model must be a string that is not empty; GET /v1/models lists the models")
	}
	if stream, ok := fields["stream"]; ok {
		if err := json.Unmarshal(stream, &body.Stream); err != nil {
			return body, malformed("the field stream must be true or false")
		}
	}
	body.Content = fields[content]
	return body, checkContent(body.Content, content)
}

// checkContent checks the first byte only; the engine checks the rest.
func checkContent(value json.RawMessage, content string) *errkind.Error {
	first := ""
	if len(value) > 0 {
		first = string(value[0])
	}
	switch {
	case content == "messages" && first != "[":
		return malformed("the field messages must be an array of messages")
	case content == "prompt" && first != "[" && first != `"`:
		return malformed("the field prompt must be a string or an array")
	}
	return nil
}

func malformed(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.MalformedRequest, format, args...)
}

func reason(err error) string {
	if err == nil {
		return ""
	}
	return ": " + strings.TrimPrefix(err.Error(), "json: ")
}
