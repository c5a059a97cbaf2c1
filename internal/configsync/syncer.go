package configsync

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/platform"
)

// retryInterval is the pause after a failed read or a broken watch.
const retryInterval = 500 * time.Millisecond

// Syncer keeps the configuration of one instance up to date.
type Syncer struct {
	Store platform.Store
	Loop  *control.Loop
	Log   *logrus.Entry
}

// Run loads and watches the configuration until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.loadAndWatch(ctx); err != nil && ctx.Err() == nil {
			s.Log.WithField("event", "config_sync").WithError(err).Warn("configuration source lost")
		}
		sleep(ctx, retryInterval)
	}
}

func (s *Syncer) loadAndWatch(ctx context.Context) error {
	_, version, err := readHead(ctx, s.Store)
	if err != nil {
		return err
	}
	if err := s.load(ctx); err != nil {
		return err
	}
	return s.Store.Watch(ctx, headKey, version, func([]platform.WatchEvent) {
		if err := s.load(ctx); err != nil {
			s.Log.WithField("event", "config_sync").WithError(err).Warn("configuration not read")
		}
	})
}

func (s *Syncer) load(ctx context.Context) error {
	config, err := Load(ctx, s.Store)
	if err != nil {
		return err
	}
	s.Loop.Post(ctx, control.ConfigEvent{Config: config})
	return nil
}
