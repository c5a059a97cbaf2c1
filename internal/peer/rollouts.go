package peer

import (
	"context"
	"strings"
	"time"

	"heatherloom/internal/control"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

func encodeRollouts(s *routing.Snapshot) []*peerv1.RolloutMove {
	rollouts := make([]*peerv1.RolloutMove, 0, len(s.ModelRollouts))
	for _, m := range s.ModelRollouts {
		rollouts = append(rollouts, &peerv1.RolloutMove{
			Target:    m.Target,
			Version:   m.Version,
			From:      m.From,
			Started:   m.Started.UnixNano(),
			Deadline:  m.Deadline.UnixNano(),
			State:     string(m.State),
			Step:      int32(m.Step),
			StepSince: m.StepSince.UnixNano(),
			Reason:    m.Reason,
			Sequence:  m.Sequence,
		})
	}
	return rollouts
}

// postRollouts posts the rollouts to the control loop. Those with a step that this
// version of the program does not know are dropped.
func postRollouts(ctx context.Context, loop *control.Loop, rollouts []*peerv1.RolloutMove) {
	var event control.ModelRolloutsEvent
	for _, m := range rollouts {
		if m.GetStep() < 0 || int(m.GetStep()) >= rollout.Steps {
			continue
		}
		event.Rollouts = append(event.Rollouts, rollout.Rollout{
			Target:    m.GetTarget(),
			Version:   m.GetVersion(),
			From:      m.GetFrom(),
			Started:   time.Unix(0, m.GetStarted()),
			Deadline:  time.Unix(0, m.GetDeadline()),
			State:     rollout.State(m.GetState()),
			Step:      int(m.GetStep()),
			StepSince: time.Unix(0, m.GetStepSince()),
			Reason:    m.GetReason(),
			Sequence:  m.GetSequence(),
		})
	}
	if len(event.Rollouts) > 0 {
		loop.Post(ctx, event)
	}
}

func encodeLocalStops(s *routing.Snapshot) []*peerv1.VersionFault {
	stops := make([]*peerv1.VersionFault, 0, len(s.RolloutStops))
	for _, stop := range s.RolloutStops {
		target, version, _ := strings.Cut(stop.RolloutID, "@")
		stops = append(stops, &peerv1.VersionFault{
			Target: target, Version: version, Reason: stop.Reason, SeenAt: stop.SeenAt, Instance: stop.Instance,
		})
	}
	return stops
}

func postLocalStops(ctx context.Context, loop *control.Loop, stops []*peerv1.VersionFault) {
	var event control.LocalStopsEvent
	for _, f := range stops {
		event.Stops = append(event.Stops, rollout.Stop{
			RolloutID: rollout.Rollout{Target: f.GetTarget(), Version: f.GetVersion()}.ID(),
			Instance:  f.GetInstance(),
			Reason:    f.GetReason(),
			SeenAt:    f.GetSeenAt(),
		})
	}
	if len(event.Stops) > 0 {
		loop.Post(ctx, event)
	}
}

// samplesFor returns the samples for a recipient. Instances that serve host routes send
// them to all members, others only to members of the same failure domain.
func (h *Heartbeater) samplesFor(s *routing.Snapshot, address string) []*peerv1.VersionSample {
	if h.Samples == nil {
		return nil
	}
	if h.HostReport != nil {
		return encodeSamples(h.Samples())
	}
	for _, p := range s.Peers {
		if p.PeerAddress == address && p.FailureDomain == h.Identity.FailureDomain {
			return encodeSamples(h.Samples())
		}
	}
	return nil
}

func encodeSamples(samples []rollout.KeyedSample) []*peerv1.VersionSample {
	encoded := make([]*peerv1.VersionSample, 0, len(samples))
	for _, s := range samples {
		message := &peerv1.VersionSample{
			Move: s.RolloutID, Step: int32(s.Step), Candidate: s.Candidate, Route: s.Route, Requests: s.Requests, Errors: s.Errors,
		}
		for _, class := range s.Latency {
			message.Latency = append(message.Latency, class[:]...)
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func (s *Server) postSamples(ctx context.Context, self *peerv1.Member, samples []*peerv1.VersionSample) {
	if s.HostReport == nil && self.GetFailureDomain() != s.Loop.Snapshot().FailureDomain {
		return
	}
	event := control.VersionSamplesEvent{Instance: self.GetId()}
	for _, sample := range samples {
		keyed := rollout.KeyedSample{
			SampleKey: rollout.SampleKey{RolloutID: sample.GetMove(), Step: int(sample.GetStep()), Candidate: sample.GetCandidate(), Route: sample.GetRoute()},
			Sample:    rollout.Sample{Requests: sample.GetRequests(), Errors: sample.GetErrors()},
		}
		for class := range keyed.Latency {
			size := len(keyed.Latency[class])
			if end := (class + 1) * size; end <= len(sample.GetLatency()) {
				copy(keyed.Latency[class][:], sample.GetLatency()[end-size:end])
			}
		}
		event.Samples = append(event.Samples, keyed)
	}
	s.Loop.Post(ctx, event)
}
