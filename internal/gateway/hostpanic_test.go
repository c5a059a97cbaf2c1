package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

type plainProtocol struct{}

func (plainProtocol) DecodeRequest(http.Header) (RequestHeaders, error) { return RequestHeaders{}, nil }
func (plainProtocol) UpstreamHeaders(h http.Header) http.Header         { return h }
func (plainProtocol) EncodeRejection(http.Header, string)               {}

// Guards against a request whose handling panics and that ends without an answer.
func TestHostRequestIsAnsweredAfterAPanic(t *testing.T) {
	route := opconfig.HostRoute{Host: "h.example", Prefix: "/", Public: true, Services: []opconfig.WeightedService{{Service: "s", Weight: 1}}}
	config := opconfig.New()
	config.HostRoutes[route.ID()] = route
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler := NewHostHandler(HostDeps{
		Snapshot: func() *routing.Snapshot { return &routing.Snapshot{Config: config, Ready: true} },
		// Without budgets, the dispatcher panics.
		Dispatcher: &dispatch.Dispatcher{}, Protocol: plainProtocol{}, Log: logrus.NewEntry(log), Now: time.Now,
	})
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/a", nil)
	r.Host, r.RequestURI = "h.example", "/a"
	handler.ServeHTTP(w, r)
	if w.Code != http.StatusBadGateway {
		t.Errorf("got status %d, want %d", w.Code, http.StatusBadGateway)
	}
}
