package gateway

import (
	"net/http"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/promptprefix"
)

// inference handles the completion endpoints.
func (s *server) inference(c *call) *errkind.Error {
	account, err := s.authenticate(c)
	if err != nil {
		return err
	}
	deadline, err := requestDeadline(c.r.Header, s.Now())
	if err != nil {
		return err
	}
	if err := s.readBody(c); err != nil {
		return err
	}
	// The parsed fields are a copy.
	copied := int64(len(c.body.bytes))
	if !c.body.share.Grow(copied) {
		return noMemoryError()
	}
	body, err := parseInference(c.body.bytes, promptprefix.ContentField(c.r.URL.Path))
	if err != nil {
		return err
	}
	target, err := modelTarget(c, body.Model)
	if err != nil {
		return err
	}
	if err := s.admit(c, account, deadline); err != nil {
		return err
	}
	c.sink.stream = body.Stream
	request := &dispatch.Request{
		ID:          c.id,
		Account:     account.Name,
		Method:      http.MethodPost,
		Path:        c.r.URL.Path,
		Header:      upstreamHeader(c),
		Body:        c.body.bytes,
		Target:      target,
		Prompt:      promptprefix.HashContent(target, body.Content),
		Stream:      body.Stream,
		Repeatable:  true,
		BoundRegion: account.HomeRegion,
		Deadline:    deadline,
	}
	c.body.share.Shrink(copied)
	return s.dispatch(c, request)
}

// modelTarget returns the model@version that serves the request.
func modelTarget(c *call, name string) (string, *errkind.Error) {
	model, ok := c.snapshot.Config.Models[name]
	if !ok {
		return "", errkind.New(errkind.UnknownModel, "model %q does not exist; GET /v1/models lists the models", shorten(name))
	}
	split, ok := c.snapshot.ModelSplits[name]
	if !ok {
		return name + "@" + model.Version, nil
	}
	return name + "@" + split.Version(c.id), nil
}
