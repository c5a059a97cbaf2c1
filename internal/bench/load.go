package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/promptprefix"
)

// kind is the kind of a request.
type kind int

const (
	kindReview kind = iota
	kindQuestion
	kindStatus
	kindWrite
)

// arrival is one planned request.
type arrival struct {
	number int
	// at is the clock time since the start of the run.
	at      time.Duration
	account int
	region  int
	entry   int
	kind    kind
	// document and its length in tokens belong to reviews.
	document int
	tokens   int
	answer   int
	// crash requests break the engine that runs them.
	crash bool
}

// generator plans the arrivals of a run from a seed.
type generator struct {
	profile  Profile
	duration time.Duration
	rng      *rand.Rand
	// active are the documents under review by region and account.
	active   map[[2]int][]document
	nextDoc  int
	arrivals []arrival
}

type document struct {
	id     int
	tokens int
}

// plan returns the arrivals of a run in the order of time. rate is in requests per
// second of the clock over all regions; the account greedy sends factor times its part,
// -1 for none.
func plan(p Profile, seed uint64, duration time.Duration, rate float64, greedy int, factor float64) []arrival {
	g := &generator{profile: p, duration: duration, rng: rand.New(rand.NewPCG(seed, 7)), active: map[[2]int][]document{}}
	for a, account := range p.Accounts {
		own := rate * account.Share
		if a == greedy {
			own *= factor
		}
		for region := range p.Regions {
			switch account.Home {
			case "":
				g.times(a, region, own/float64(len(p.Regions)))
			case p.Regions[region]:
				g.times(a, region, own)
			}
		}
	}
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range g.arrivals {
		g.arrivals[i].number = i
		g.describe(&g.arrivals[i])
	}
	return g.arrivals
}

// times adds Poisson arrivals whose rate follows the day of the region. A run covers
// one day; the days of the regions are offset evenly.
func (g *generator) times(account, region int, rate float64) {
	if rate <= 0 {
		return
	}
	highest := rate * (1 + g.profile.DayAmplitude)
	offset := float64(region) / float64(len(g.profile.Regions))
	for t := 0.0; ; {
		t += g.rng.ExpFloat64() / highest
		if t >= g.duration.Seconds() {
			return
		}
		day := 1 + g.profile.DayAmplitude*math.Sin(2*math.Pi*(t/g.duration.Seconds()+offset))
		if g.rng.Float64()*highest <= rate*day {
			g.arrivals = append(g.arrivals, arrival{at: time.Duration(t * float64(time.Second)), account: account, region: region})
		}
	}
}

// describe chooses what a request asks for.
func (g *generator) describe(a *arrival) {
	p := g.profile
	a.entry = g.rng.IntN(p.Entries[a.region])
	switch u := g.rng.Float64(); {
	case u < p.Mix.Review:
		a.kind = kindReview
		d := g.review(a)
		a.document = d.id
		a.tokens = d.tokens
		a.answer = g.around(p.ReviewAnswer)
	case u < p.Mix.Review+p.Mix.Question:
		a.kind = kindQuestion
		a.answer = g.around(p.QuestionAnswer)
	case u < p.Mix.Review+p.Mix.Question+p.Mix.Status:
		a.kind = kindStatus
	default:
		a.kind = kindWrite
	}
}

// around returns a number between half and one and a half times the mean.
func (g *generator) around(mean int) int { return mean/2 + g.rng.IntN(mean+1) }

// review returns one of the documents that the account has under review in the region.
// Each use replaces it by a new one with the probability 1/Reviews.
func (g *generator) review(a *arrival) document {
	p := g.profile
	key := [2]int{a.region, a.account}
	if g.active[key] == nil {
		share := p.Accounts[a.account].Share
		if p.Accounts[a.account].Home == "" {
			share /= float64(len(p.Regions))
		}
		n := max(int(float64(p.Documents)*share/p.regionShare(a.region)+0.5), 1)
		for range n {
			g.active[key] = append(g.active[key], g.newDocument())
		}
	}
	i := g.rng.IntN(len(g.active[key]))
	d := g.active[key][i]
	if g.rng.Float64() < 1/p.Reviews {
		g.active[key][i] = g.newDocument()
	}
	return d
}

func (g *generator) newDocument() document {
	g.nextDoc++
	return document{id: g.nextDoc, tokens: g.around(g.profile.DocumentTokens)}
}

// crashMarker is the text that breaks an engine in the fault crashing-request.
const crashMarker = "crash-the-engine"

// texts builds the bodies of requests and keeps the long parts.
type texts struct {
	profile   Profile
	documents []string
	systems   []string
}

func newTexts(p Profile, arrivals []arrival) *texts {
	t := &texts{profile: p}
	for i := range p.Accounts {
		t.systems = append(t.systems, words(uint64(i)+1, p.SystemTokens))
	}
	for _, a := range arrivals {
		if a.kind != kindReview {
			continue
		}
		for len(t.documents) <= a.document {
			t.documents = append(t.documents, "")
		}
		if t.documents[a.document] == "" {
			t.documents[a.document] = words(uint64(a.document)+1000, a.tokens)
		}
	}
	return t
}

// words returns text of the given length that follows from seed.
func words(seed uint64, tokens int) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	var b strings.Builder
	for b.Len() < tokens*promptprefix.BytesPerToken {
		fmt.Fprintf(&b, "%06x ", rng.Uint32()&0xffffff)
	}
	return b.String()[:tokens*promptprefix.BytesPerToken]
}

// body returns the body of a request; empty for a status reading.
func (t *texts) body(a *arrival) string {
	switch a.kind {
	case kindStatus:
		return ""
	case kindWrite:
		return fmt.Sprintf(`{"order":%d,"account":%q}`, a.number, t.profile.Accounts[a.account].Name)
	}
	document := ""
	if a.kind == kindReview {
		document = `{"role":"user","content":"` + t.documents[a.document] + `"},`
	}
	marker := ""
	if a.crash {
		marker = crashMarker + " "
	}
	question := fmt.Sprintf("%srequest %d: %s", marker, a.number, words(uint64(a.number)+1e6, t.profile.QuestionTokens))
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"%s"},%s{"role":"user","content":"%s"}]}`,
		modelName, a.answer, t.systems[a.account], document, question)
}
