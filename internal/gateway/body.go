package gateway

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/intake"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the reading of a body, so that slow senders do not hold memory.
	bodyTimeout = 30 * time.Second
)

// readBody reads the body up to maxBodyBytes.
func (s *server) readBody(c *call) *errkind.Error {
	body, err := readRequestBody(s.Budget, c.sink, c.r, maxBodyBytes, bodyTimeout)
	switch {
	case err == nil:
		c.body, c.bodyRead = body, true
		return nil
	case isTooLarge(err):
		return bodyTooLarge()
	case errors.Is(err, intake.ErrNoMemory):
		return noMemoryError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "the body did not arrive within %s", bodyTimeout)
	default:
		return errkind.Wrap(err, errkind.MalformedRequest, errkind.NotExecuted, "the body could not be read in full")
	}
}

func bodyTooLarge() *errkind.Error {
	return errkind.New(errkind.BodyTooLarge, "the body exceeds the limit of %d bytes", maxBodyBytes)
}

// inferenceBody holds the fields of a completion request that the gateway reads.
type inferenceBody struct {
	Model  string
	Stream bool
	// Content is the value of the field messages or prompt.
	Content json.RawMessage
}

// parseInference parses and checks the body of a completion request. contentField is
// the name of the field with the input: messages or prompt.
func parseInference(raw []byte, contentField string) (inferenceBody, *errkind.Error) {
	var body inferenceBody
	// Field names are matched exactly, as engines do; decoding into a struct would also
	// match "Model".
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return body, malformed("the body must be a JSON object with the fields model and %s%s", contentField, parseErrorDetail(err))
	}
	model, ok := fields["model"]
	if !ok {
		return body, malformed("the body must name a model in the field model; GET /v1/models lists the models")
	}
	if err := json.Unmarshal(model, &body.Model); err != nil || body.Model == "" {
		return body, malformed("the field model must be a non-empty string; GET /v1/models lists the models")
	}
	if stream, ok := fields["stream"]; ok {
		if err := json.Unmarshal(stream, &body.Stream); err != nil {
			return body, malformed("the field stream must be true or false")
		}
	}
	body.Content = fields[contentField]
	return body, checkContent(body.Content, contentField)
}

// checkContent checks only the first byte, which gives the JSON type; the engine
// validates the rest.
func checkContent(value json.RawMessage, contentField string) *errkind.Error {
	first := ""
	if len(value) > 0 {
		first = string(value[0])
	}
	switch {
	case contentField == "messages" && first != "[":
		return malformed("the field messages must be an array of messages")
	case contentField == "prompt" && first != "[" && first != `"`:
		return malformed("the field prompt must be a string or an array")
	}
	return nil
}

func malformed(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.MalformedRequest, format, args...)
}

func parseErrorDetail(err error) string {
	if err == nil {
		return ""
	}
	return ": " + strings.TrimPrefix(err.Error(), "json: ")
}
