package quarantine

import (
	"testing"
	"time"
)

// inPlace is an upstream whose process ended and started again under its id, and a tracker that learns this later.
type inPlace struct {
	*Attempts
	former, next Process
	start        time.Time
}

func newInPlace(startedAgain float64) *inPlace {
	p := &inPlace{Attempts: NewAttempts(), start: time.Unix(100_000, 0)}
	p.former = Process{Upstream: "a", StartedAt: p.at(-60).UnixMilli()}
	p.next = Process{Upstream: "a", StartedAt: p.at(startedAgain).UnixMilli()}
	return p
}

func (p *inPlace) at(s float64) time.Time {
	return p.start.Add(time.Duration(s * float64(time.Second)))
}

func (p *inPlace) begin(s float64, request Fingerprint) *Attempt {
	return p.Begin(p.at(s), p.former, func() Subject { return Subject{Request: request} })
}

// sweep returns the crashes found every quarter of a second until a time; the row tells of the new process from rowAt.
func (p *inPlace) sweep(from, rowAt, until float64) (crashes []Crash) {
	for s := from; s <= until; s += 0.25 {
		listed := p.former
		if s >= rowAt {
			listed = p.next
		}
		found, _ := p.Sweep(p.at(s), map[Process]bool{listed: false})
		crashes = append(crashes, found...)
	}
	return crashes
}

// Guards against a request that goes on ending upstreams because the next process under the id answered before its row.
func TestAnswersOfTheNextProcessDoNotHideASilentEnd(t *testing.T) {
	p := newInPlace(2)
	p.begin(0, 7).Abandon(p.at(0.5))
	other := p.begin(2.2, 8)
	other.Progress(p.at(2.3))
	other.Finish(p.at(2.3))
	if got := count(p.sweep(2.5, 4, 10), 7); got != 1 {
		t.Errorf("the end under the request was found %d times, want once", got)
	}
}

// Guards against a sound request that is held responsible for the end of a process which never got it.
func TestRequestsOfTheNextProcessAreNotBlamedForTheEndOfTheFormerOne(t *testing.T) {
	for name, act := range map[string]func(p *inPlace, a *Attempt){
		"it still runs there":            func(*inPlace, *Attempt) {},
		"it was given up before the row": func(p *inPlace, a *Attempt) { a.Abandon(p.at(1.5)) },
	} {
		p := newInPlace(0.5)
		act(p, p.begin(1, 7))
		if got := count(p.sweep(1.75, 2, 5), 7); got != 0 {
			t.Errorf("%s: blamed %d times", name, got)
		}
	}
}

// Guards against a quarantine after the end of one process, which instances with rows of different age name differently.
func TestOneEndCountsOnceWhicheverRowsInstancesHaveRead(t *testing.T) {
	p := newInPlace(-2)
	table, now := NewTable(), p.at(0)
	for i, process := range []Process{p.former, p.next} {
		table.Add(now, Crash{Fingerprint: 7, Upstream: "a", StartedAt: process.StartedAt, SeenAt: now.Add(time.Duration(i) * 20 * time.Millisecond).UnixNano()})
	}
	if _, quarantined := table.Quarantined()[7]; quarantined {
		t.Error("the request is in quarantine after the end of one process")
	}
}
