// Package operator serves the operator listener: status, timeline, drain, metrics
// and health. Every endpoint but /healthz and /readyz requires the operator token.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"heatherloom/internal/drain"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

// Deps holds the dependencies of the operator listener.
type Deps struct {
	// Token is the operator credential. If it is empty, every endpoint that requires it
	// responds with 403.
	Token    string
	Snapshot func() *routing.Snapshot
	// Rollouts returns the rollouts of a snapshot; nil selects the function Rollouts.
	Rollouts func(*routing.Snapshot) []operatorapi.Rollout
	// Duties returns the duties and what this instance has done for them; nil if there are none.
	Duties   func() []operatorapi.Duty
	Timeline *timeline.Recorder
	Drain    *drain.Controller
	Metrics  http.Handler
	Now      func() time.Time
}

type server struct {
	Deps
	token [sha256.Size]byte
}

// Handler returns the handler of the operator listener.
func Handler(deps Deps) http.Handler {
	if deps.Rollouts == nil {
		deps.Rollouts = Rollouts
	}
	if deps.Duties == nil {
		deps.Duties = func() []operatorapi.Duty { return nil }
	}
	s := &server{Deps: deps, token: sha256.Sum256([]byte(deps.Token))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.readiness)
	mux.Handle("GET /v1/status", s.requireToken(http.HandlerFunc(s.status)))
	mux.Handle("GET /v1/events", s.requireToken(http.HandlerFunc(s.events)))
	mux.Handle("GET /v1/drain", s.requireToken(http.HandlerFunc(s.drainProgress)))
	mux.Handle("POST /v1/drain", s.requireToken(http.HandlerFunc(s.startDrain)))
	mux.Handle("GET /metrics", s.requireToken(deps.Metrics))
	return mux
}

// requireToken rejects requests without the operator token. Hashes are compared, so that
// the time of the comparison does not depend on the length of the token.
func (s *server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(credential))
		switch {
		case s.Token == "":
			writeJSON(w, http.StatusForbidden, operatorapi.ErrorResponse{Error: "the settings of this instance have no [operator] token, so this endpoint is disabled"})
		case !ok || subtle.ConstantTimeCompare(sum[:], s.token[:]) != 1:
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, operatorapi.ErrorResponse{Error: "the request needs a header Authorization: Bearer TOKEN with the [operator] token of the settings"})
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *server) readiness(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Snapshot()
	response := operatorapi.Readiness{
		Draining:         s.draining(snapshot),
		ConfigRevision:   snapshot.Config.Revision,
		ConfigAgeSeconds: snapshot.ConfigAge.Seconds(),
		Peers:            len(snapshot.Peers),
	}
	if !snapshot.Ready {
		response.Reasons = append(response.Reasons, "no configuration has been applied yet")
	}
	if response.Draining {
		response.Reasons = append(response.Reasons, "the instance is draining")
	}
	response.Ready = len(response.Reasons) == 0
	status := http.StatusOK
	if !response.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, response)
}

// draining reports whether a drain was requested, which the snapshot shows up to one
// control tick later.
func (s *server) draining(snapshot *routing.Snapshot) bool {
	return snapshot.Draining || s.Drain.Progress().Phase != drain.Serving
}

func (s *server) events(w http.ResponseWriter, r *http.Request) {
	since := timeline.Stamp(0)
	if text := r.URL.Query().Get("since"); text != "" {
		parsed, err := timeline.ParseStamp(text)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, operatorapi.ErrorResponse{Error: err.Error()})
			return
		}
		since = parsed
	}
	writeJSON(w, http.StatusOK, operatorapi.Events{
		Instance:    s.Snapshot().SelfID,
		Overwritten: s.Timeline.Overwritten(),
		Events:      s.Timeline.Since(since),
	})
}

func (s *server) startDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain.RequestDrain("operator")
	writeJSON(w, http.StatusAccepted, s.drainStatus())
}

func (s *server) drainProgress(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.drainStatus())
}

func (s *server) drainStatus() operatorapi.DrainStatus {
	progress := s.Drain.Progress()
	response := operatorapi.DrainStatus{
		Instance: s.Snapshot().SelfID,
		Phase:    string(progress.Phase),
		Reason:   progress.Reason,
		InFlight: progress.InFlight,
	}
	if progress.Phase == drain.Announced {
		response.RefusesInSeconds = max(0, progress.RejectsAt.Sub(s.Now()).Seconds())
	}
	return response
}
