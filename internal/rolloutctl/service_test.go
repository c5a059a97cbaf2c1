package rolloutctl

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/rollout"
)

// unavailableStore rejects every call.
type unavailableStore struct{ external.PollingStore }

func (unavailableStore) Commit(context.Context, []external.Condition, []external.Write) (bool, int64, error) {
	return false, 0, external.ErrUnavailable
}

// anyDocument encodes every state in the same way.
type anyDocument struct{ external.DocumentCodec }

func (anyDocument) EncodeRolloutState(external.RolloutState) (external.Entry, error) {
	return external.Entry{Key: "state"}, nil
}

// Guards against instances that go on sending to a faulty version until its rollback is written to the
// store, which may be unavailable.
func TestAServiceRollbackTakesEffectWithoutTheStore(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	identity := control.Identity{ID: "e0", Region: "a"}
	c := &ServiceController{
		Identity: identity, Store: unavailableStore{}, Documents: anyDocument{}, Loop: control.NewLoop(identity),
		Recorder: NewRecorder("e0", func(rollout.Stop) {}), Log: logrus.NewEntry(log),
	}
	go c.Loop.Run(t.Context())
	r := rollout.ServiceRollout{Service: "s", Version: "v2", State: rollout.Serving, Recorded: true, Deadline: time.Now().Add(time.Hour)}
	key := rollout.SampleKey{RolloutID: r.ID(), Candidate: true, Route: "r"}
	c.Loop.Post(t.Context(), control.ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{r}})
	c.Loop.Post(t.Context(), control.VersionSamplesEvent{Instance: "e1", Samples: []rollout.KeyedSample{
		{SampleKey: key, Sample: rollout.Sample{Requests: 20, Errors: 20}},
	}})
	go c.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); len(c.Loop.Snapshot().RolloutStops) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance still sends to the version")
		}
	}
	if stop := c.Loop.Snapshot().RolloutStops[0]; stop.Instance != "e0" || stop.RolloutID != r.ID() || stop.Reason == "" {
		t.Errorf("got %+v", stop)
	}
}
