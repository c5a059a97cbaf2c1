package control

import (
	"time"
)

// system changes the tables once per tick.
type system func(t *tables, now time.Time)

// systems run in this order on each tick.
var systems = []system{
	expireMembers,
	judgeHealth,
	expireCrashes,
}

const (
	// memberTimeout is the silence after which a member is dropped.
	memberTimeout = 5 * time.Second
	// failuresToPause is the number of failed attempts in a row that pause an upstream.
	failuresToPause = 3
	// pauseDuration is the time without work after repeated failures. The first
	// attempt after it serves as a probe.
	pauseDuration = 2 * time.Second
)

func expireMembers(t *tables, now time.Time) {
	for id, row := range t.members {
		if now.Sub(row.peer.LastHeard) > memberTimeout {
			delete(t.members, id)
		}
	}
}

func expireCrashes(t *tables, now time.Time) { t.crashes.Expire(now) }

func judgeHealth(t *tables, now time.Time) {
	for _, row := range t.upstreams {
		failures := row.counters.Failures.Load()
		if failures == 0 {
			row.countedFailures = 0
			continue
		}
		if failures >= failuresToPause && failures > row.countedFailures {
			row.countedFailures = failures
			row.downUntil = now.Add(pauseDuration)
		}
	}
}
