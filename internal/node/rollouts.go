package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/configsync"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/external"
	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/external/weightstore"
	"heatherloom/internal/peer"
	"heatherloom/internal/rollout"
	"heatherloom/internal/rolloutctl"
	"heatherloom/internal/settings"
)

// wireRolloutRecorder makes the dispatcher report attempts to the rollout recorder. A local
// stop takes effect at the next control tick and is announced by heartbeats.
func (n *Node) wireRolloutRecorder(identity control.Identity, d *dispatch.Dispatcher) {
	n.recorder = rolloutctl.NewRecorder(identity.ID, func(stop rollout.Stop) {
		go n.loop.Post(n.ctx, control.LocalStopsEvent{Stops: []rollout.Stop{stop}})
	})
	d.ObserveRollout = n.recorder.Observe
	n.sendProbe = func(ctx context.Context, r *dispatch.Request) { _ = d.Dispatch(ctx, r, rolloutctl.DiscardSink{}) }
}

// startRollouts starts the rollout controller. n.lease must be set first.
func (n *Node) startRollouts(s settings.Settings, store external.Store, syncer *configsync.Syncer, heartbeats *peer.Heartbeater, log *logrus.Entry) {
	controller := &rolloutctl.Controller{
		Identity:         heartbeats.Identity,
		Loop:             n.loop,
		Store:            store,
		Lease:            n.lease,
		IsWatcher:        syncer.IsWatcher,
		Engines:          engineapi.New(),
		Recorder:         n.recorder,
		Probe:            n.sendProbe,
		AnnounceToDomain: heartbeats.AnnounceToDomain,
		Timing:           n.options.RolloutTiming,
		Log:              log,
	}
	if s.Platform.Weights != "" {
		controller.Weights = weightstore.New(s.Platform.Weights)
	}
	n.wg.Go(func() { controller.Run(n.ctx) })
}
