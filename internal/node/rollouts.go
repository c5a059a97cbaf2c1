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

// recordRollouts lets the dispatcher count attempts for rollouts. A local stop takes
// effect at the next tick of control, and heartbeats announce it.
func (n *Node) recordRollouts(identity control.Identity, d *dispatch.Dispatcher) {
	n.recorder = rolloutctl.NewRecorder(identity.ID, func(stop rollout.Stop) {
		go n.loop.Post(n.ctx, control.LocalStopsEvent{Stops: []rollout.Stop{stop}})
	})
	d.ObserveRollout = n.recorder.Observe
	n.probe = func(ctx context.Context, r *dispatch.Request) { _ = d.Dispatch(ctx, r, rolloutctl.DiscardSink{}) }
}

// runRollouts starts the controller of rollouts. It is called after the lease exists.
func (n *Node) runRollouts(s settings.Settings, store external.Store, syncer *configsync.Syncer, heartbeats *peer.Heartbeater, log *logrus.Entry) {
	controller := &rolloutctl.Controller{
		Identity:      heartbeats.Identity,
		Loop:          n.loop,
		Store:         store,
		Lease:         n.lease,
		IsWatcher:     syncer.IsWatcher,
		Engines:       engineapi.New(),
		Recorder:      n.recorder,
		Probe:         n.probe,
		SendHeartbeat: heartbeats.Announce,
		Timing:        n.options.Rollouts,
		Log:           log,
	}
	if s.Platform.Weights != "" {
		controller.Weights = weightstore.New(s.Platform.Weights)
	}
	n.done.Go(func() { controller.Run(n.ctx) })
}
