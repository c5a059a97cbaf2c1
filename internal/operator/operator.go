// Package operator serves the operator listener: status, timeline, drain, metrics
// and health. Every service but /healthz and /readyz demands the operator token.
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

// Deps are the parts that the operator listener needs.
type Deps struct {
	// Token is the operator credential. While it is empty, every service that
	// demands it is refused.
	Token    string
	Snapshot func() *routing.Snapshot
	// Rollouts returns the rollouts of a snapshot; nil stands for Rollouts.
	Rollouts func(*routing.Snapshot) []operatorapi.Rollout
	Timeline *timeline.Recorder
	Gate     *drain.Gate
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
	s := &server{Deps: deps, token: sha256.Sum256([]byte(deps.Token))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.readiness)
	mux.Handle("GET /v1/status", s.guard(http.HandlerFunc(s.status)))
	mux.Handle("GET /v1/events", s.guard(http.HandlerFunc(s.events)))
	mux.Handle("GET /v1/drain", s.guard(http.HandlerFunc(s.drainProgress)))
	mux.Handle("POST /v1/drain", s.guard(http.HandlerFunc(s.startDrain)))
	mux.Handle("GET /metrics", s.guard(deps.Metrics))
	return mux
}

// guard demands the operator token. Hashes are compared, so that the time of the
// comparison does not depend on the length of the token.
func (s *server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(given))
		switch {
		case s.Token == "":
			write(w, http.StatusForbidden, operatorapi.Problem{Error: "the settings of this instance have no [operator] token, so this service is off"})
		case !ok || subtle.ConstantTimeCompare(sum[:], s.token[:]) != 1:
			w.Header().Set("WWW-Authenticate", "Bearer")
			write(w, http.StatusUnauthorized, operatorapi.Problem{Error: "the call needs a header Authorization: Bearer TOKEN with the [operator] token of the settings"})
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *server) readiness(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Snapshot()
	answer := operatorapi.Readiness{
		Draining:         s.draining(snapshot),
		ConfigRevision:   snapshot.Config.Revision,
		ConfigAgeSeconds: snapshot.ConfigAge.Seconds(),
		Peers:            len(snapshot.Peers),
	}
	if !snapshot.Ready {
		answer.Reasons = append(answer.Reasons, "no configuration is in force")
	}
	if answer.Draining {
		answer.Reasons = append(answer.Reasons, "the instance is draining")
	}
	answer.Ready = len(answer.Reasons) == 0
	status := http.StatusOK
	if !answer.Ready {
		status = http.StatusServiceUnavailable
	}
	write(w, status, answer)
}

// draining is true from the request to drain on, one tick before the snapshot has it.
func (s *server) draining(snapshot *routing.Snapshot) bool {
	return snapshot.Draining || s.Gate.Progress().Phase != drain.Serving
}

func (s *server) events(w http.ResponseWriter, r *http.Request) {
	since := timeline.Stamp(0)
	if text := r.URL.Query().Get("since"); text != "" {
		parsed, err := timeline.ParseStamp(text)
		if err != nil {
			write(w, http.StatusBadRequest, operatorapi.Problem{Error: err.Error()})
			return
		}
		since = parsed
	}
	write(w, http.StatusOK, operatorapi.Events{
		Instance:    s.Snapshot().SelfID,
		Overwritten: s.Timeline.Overwritten(),
		Events:      s.Timeline.Since(since),
	})
}

func (s *server) startDrain(w http.ResponseWriter, _ *http.Request) {
	s.Gate.Request("operator")
	write(w, http.StatusAccepted, s.drainAnswer())
}

func (s *server) drainProgress(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, s.drainAnswer())
}

func (s *server) drainAnswer() operatorapi.Drain {
	progress := s.Gate.Progress()
	answer := operatorapi.Drain{
		Instance: s.Snapshot().SelfID,
		Phase:    string(progress.Phase),
		Reason:   progress.Reason,
		InFlight: progress.InFlight,
	}
	if progress.Phase == drain.Announced {
		answer.RefusesInSeconds = max(0, progress.RefusesAt.Sub(s.Now()).Seconds())
	}
	return answer
}
