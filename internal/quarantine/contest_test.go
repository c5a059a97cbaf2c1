package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var contestSeeds = flag.Uint64("contest.seeds", 60, "number of random plays of harmful prompt parts")

// The operators' bounds for a part that crashes upstreams.
const (
	contestReaction   = 5 * time.Second
	contestTolerable  = 5
	contestMaxLate    = 3
	contestMinShare   = 0.5
	contestMinSent    = 20
	contestStep       = 10 * time.Millisecond
	contestHeartbeat  = time.Second
	contestReport     = 250 * time.Millisecond
	contestRestart    = 3 * time.Second
	contestPlay       = 45 * time.Second
	contestQuiet      = 10 * time.Second
	contestHarmful    = Fingerprint(1)
	contestFirst      = Fingerprint(2)
	contestSubjects   = 40
	contestSubjectsAt = 100
)

// contestRequest is a request in flight.
type contestRequest struct {
	id       Fingerprint
	parts    []Fingerprint
	instance *contestInstance
	harmful  bool
	// crashAt is when the upstream begins to write, if the request is harmful, and endsAt when the response ends.
	crashAt, endsAt time.Time
	probed          Fingerprint
}

type contestInstance struct {
	table       *Table
	probes      Probes
	completions *Completions
	reported    map[Fingerprint]time.Time
	rank        int
	// crashes holds those that this instance learns of later, as their connections were not closed.
	silent []contestCrash
}

type contestCrash struct {
	Crash
	at time.Time
}

type contestUpstream struct {
	name     string
	started  int64
	backAt   time.Time
	inFlight []*contestRequest
}

// contestPlayer plays one random mix: instances and upstreams, sound and harmful prompts, and lengths of responses.
type contestPlayer struct {
	rng       *rand.Rand
	now       time.Time
	instances []*contestInstance
	upstreams []*contestUpstream
	// Mean times between two requests.
	soundEvery, harmfulEvery time.Duration
	response                 time.Duration
	// layout places the harmful part in prompts, silent ends leave connections open.
	layout     int
	silentEnds bool
	// otherEnds is the mean time between ends for other reasons; 0 for none.
	otherEnds time.Duration
	nextID    Fingerprint
	crashes   []time.Time
	late      int
	sound     []contestSound
}

type contestSound struct {
	at    time.Time
	began bool
}

func newContestPlayer(seed uint64) *contestPlayer {
	p := &contestPlayer{rng: rand.New(rand.NewPCG(seed, 3)), now: partStart, nextID: 1 << 20}
	for i := range 1 + p.rng.IntN(4) {
		p.instances = append(p.instances, &contestInstance{table: NewTable(), completions: NewCompletions(), reported: map[Fingerprint]time.Time{}, rank: i})
	}
	for i := range 2 + p.rng.IntN(7) {
		p.upstreams = append(p.upstreams, &contestUpstream{name: fmt.Sprint("u", i), started: 1})
	}
	p.soundEvery = time.Duration(25+p.rng.IntN(100)) * time.Millisecond
	p.harmfulEvery = time.Duration(300+p.rng.IntN(1500)) * time.Millisecond
	p.response = time.Duration(200+p.rng.IntN(4800)) * time.Millisecond
	p.layout, p.silentEnds = p.rng.IntN(3), p.rng.IntN(3) == 0
	if p.rng.IntN(3) == 0 {
		p.otherEnds = time.Duration(3+p.rng.IntN(10)) * time.Second
	}
	return p
}

func (p *contestPlayer) String() string {
	return fmt.Sprintf("%d instances, %d upstreams, sound requests each %s, harmful ones each %s, responses of %s, layout %d, silent ends %v, other ends each %s, %d crashes",
		len(p.instances), len(p.upstreams), p.soundEvery, p.harmfulEvery, p.response, p.layout, p.silentEnds, p.otherEnds, len(p.crashes))
}

// occurs reports whether an event with a mean interval happens in this step.
func (p *contestPlayer) occurs(every time.Duration) bool {
	return every > 0 && p.rng.Float64() < contestStep.Seconds()/every.Seconds()
}

func (p *contestPlayer) prompt(harmful bool) []Fingerprint {
	subject := Fingerprint(contestSubjectsAt + p.rng.IntN(contestSubjects))
	switch {
	case !harmful:
		return []Fingerprint{contestFirst, subject}
	case p.layout == 0:
		return []Fingerprint{contestFirst, contestHarmful}
	case p.layout == 1:
		return []Fingerprint{contestHarmful, subject}
	default:
		return []Fingerprint{contestFirst, subject, contestHarmful}
	}
}

// admits reports whether the instance sends a request, and the part that it probes with it.
func (i *contestInstance) admits(now time.Time, parts []Fingerprint) (probed Fingerprint, ok bool) {
	quarantined, implicated := i.table.Quarantined(), i.table.Implicated()
	rejected := false
	suspects := []Fingerprint{}
	for _, part := range parts {
		until, is := quarantined[part]
		rejected = rejected || (is && now.Before(until))
		if _, named := implicated[part]; is || named {
			suspects = append(suspects, part)
		}
	}
	if !rejected {
		return 0, true
	}
	if len(suspects) != 1 || !implicated[suspects[0]] || !i.probes.Begin(now, suspects[0], func() int { return i.rank }) {
		return 0, false
	}
	return suspects[0], true
}

func (p *contestPlayer) send(harmful bool) {
	i := p.instances[p.rng.IntN(len(p.instances))]
	parts := p.prompt(harmful)
	began := false
	defer func() {
		if !harmful {
			p.sound = append(p.sound, contestSound{p.now, began})
		}
	}()
	probed, ok := i.admits(p.now, parts)
	if !ok {
		return
	}
	var up []*contestUpstream
	for _, u := range p.upstreams {
		// An upstream that fell silent gets requests until the instances notice it.
		if !p.now.Before(u.backAt) || (p.silentEnds && u.backAt.Sub(p.now) > contestRestart-time.Second) {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		if probed != 0 {
			i.probes.End(p.now, probed, false)
		}
		return
	}
	u := up[p.rng.IntN(len(up))]
	p.nextID++
	r := &contestRequest{id: p.nextID, parts: parts, instance: i, harmful: harmful, probed: probed, endsAt: p.now.Add(p.response)}
	if p.now.Before(u.backAt) {
		// Nothing is learned from it, and nothing runs it.
		r.endsAt = u.backAt
		if probed != 0 {
			i.probes.End(p.now, probed, true)
		}
		return
	}
	if harmful {
		r.crashAt = p.now.Add(time.Duration(1+p.rng.IntN(150)) * time.Millisecond)
		if fifth := p.fifthCrash(); !fifth.IsZero() && p.now.After(fifth.Add(contestReaction)) {
			p.late++
		}
	}
	began = true
	u.inFlight = append(u.inFlight, r)
}

func (p *contestPlayer) fifthCrash() time.Time {
	if len(p.crashes) < contestTolerable {
		return time.Time{}
	}
	return p.crashes[contestTolerable-1]
}

func (p *contestPlayer) crash(u *contestUpstream) {
	for _, r := range u.inFlight {
		c := Crash{Fingerprint: r.id, Parts: r.instance.completions.NotRecent(p.now, r.parts), Upstream: u.name, StartedAt: u.started, SeenAt: p.now.UnixNano()}
		if p.silentEnds {
			r.instance.silent = append(r.instance.silent, contestCrash{c, p.now.Add(2500*time.Millisecond + time.Duration(p.rng.IntN(1500))*time.Millisecond)})
		} else {
			r.instance.table.Add(p.now, c)
		}
		if r.probed != 0 {
			r.instance.probes.End(p.now, r.probed, true)
		}
	}
	u.inFlight, u.backAt = nil, p.now.Add(contestRestart)
	u.started++
}

func (p *contestPlayer) runUpstreams() {
	for _, u := range p.upstreams {
		if slices.ContainsFunc(u.inFlight, func(r *contestRequest) bool { return r.harmful && !p.now.Before(r.crashAt) }) {
			p.crashes = append(p.crashes, p.now)
			p.crash(u)
		} else if p.occurs(p.otherEnds * time.Duration(len(p.upstreams))) {
			p.crash(u)
		}
		u.inFlight = slices.DeleteFunc(u.inFlight, func(r *contestRequest) bool {
			if p.now.Before(r.endsAt) {
				return false
			}
			for _, part := range r.parts {
				r.instance.completions.Add(p.now, part)
			}
			if r.probed != 0 {
				r.instance.probes.End(p.now, r.probed, true)
			}
			return true
		})
	}
}

func (p *contestPlayer) runInstances(step int) {
	for n, i := range p.instances {
		i.silent = slices.DeleteFunc(i.silent, func(c contestCrash) bool {
			if p.now.Before(c.at) {
				return false
			}
			i.table.Add(p.now, c.Crash)
			return true
		})
		if step%int(contestReport/contestStep) == n {
			for part := range i.table.Suspects() {
				if at, known := i.completions.Last(p.now, part); known && at.After(i.reported[part]) {
					i.reported[part] = at
					i.table.Complete(part, at)
				}
			}
		}
		if step%int(contestHeartbeat/contestStep) == 7*n {
			for _, other := range p.instances {
				if other == i {
					continue
				}
				for _, c := range i.table.HeartbeatCrashes(p.now) {
					other.table.Add(p.now, c)
				}
				for part, at := range i.table.Completed() {
					other.table.Complete(part, at)
				}
			}
		}
		if step%10 == n {
			i.table.Update(p.now)
		}
	}
}

// play returns what was broken; empty if nothing was.
func (p *contestPlayer) play() string {
	for step := range int(contestPlay / contestStep) {
		p.now = p.now.Add(contestStep)
		if p.occurs(p.soundEvery) {
			p.send(false)
		}
		if p.occurs(p.harmfulEvery) {
			p.send(true)
		}
		p.runUpstreams()
		p.runInstances(step)
	}
	var broken []string
	if p.late > contestMaxLate {
		broken = append(broken, fmt.Sprintf("%d harmful requests reached upstreams too late", p.late))
	}
	if len(p.crashes) == 0 {
		return strings.Join(broken, ", ")
	}
	from := p.crashes[min(len(p.crashes), contestTolerable)-1].Add(contestQuiet)
	sent, began := 0, 0
	for _, s := range p.sound {
		if s.at.After(from) {
			sent++
			if s.began {
				began++
			}
		}
	}
	if sent >= contestMinSent && float64(began) < contestMinShare*float64(sent) {
		broken = append(broken, fmt.Sprintf("%d of %d sound requests began", began, sent))
	}
	return strings.Join(broken, ", ")
}

// Guards against harmful parts that go on reaching upstreams, and shared parts that stay in quarantine.
func TestNoPlayOfHarmfulPartsBreaksTheBounds(t *testing.T) {
	failed := 0
	for seed := range *contestSeeds {
		p := newContestPlayer(seed)
		if broken := p.play(); broken != "" {
			if failed++; failed <= 50 {
				t.Errorf("seed %d: %s; %s", seed, broken, p)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d plays failed", failed, *contestSeeds)
	}
}
