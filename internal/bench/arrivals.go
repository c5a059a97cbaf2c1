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

// requestKind is the kind of a request.
type requestKind int

const (
	kindReview requestKind = iota
	kindQuestion
	kindStatus
	kindWrite
)

// arrival is one request of the planned load.
type arrival struct {
	number int
	// at is the planned send time, as wall clock time since the start of the run.
	at      time.Duration
	account int
	region  int
	entry   int
	kind    requestKind
	// document and its length in tokens are set for reviews.
	document       int
	documentTokens int
	answerTokens   int
	// crash requests crash the engine that executes them.
	crash bool
}

// generator generates the arrivals of a run from a seed.
type generator struct {
	profile  Profile
	duration time.Duration
	rng      *rand.Rand
	// active holds the documents under review by region and account.
	active        map[[2]int][]document
	documentCount int
	arrivals      []arrival
}

type document struct {
	id     int
	tokens int
}

// planArrivals returns the arrivals of a run, ordered by time. rate is in requests per wall
// clock second over all regions; the account with index greedy, -1 for none, sends factor
// times its share.
func planArrivals(p Profile, seed uint64, duration time.Duration, rate float64, greedy int, factor float64) []arrival {
	g := &generator{profile: p, duration: duration, rng: rand.New(rand.NewPCG(seed, 7)), active: map[[2]int][]document{}}
	for a, account := range p.Accounts {
		accountRate := rate * account.Share
		if a == greedy {
			accountRate *= factor
		}
		for region := range p.Regions {
			switch account.HomeRegion {
			case "":
				g.addArrivals(a, region, accountRate/float64(len(p.Regions)))
			case p.Regions[region]:
				g.addArrivals(a, region, accountRate)
			}
		}
	}
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range g.arrivals {
		g.arrivals[i].number = i
		g.chooseContent(&g.arrivals[i])
	}
	return g.arrivals
}

// addArrivals adds Poisson arrivals whose rate follows a diurnal curve. A run covers one
// day; the curves of the regions are offset evenly.
func (g *generator) addArrivals(account, region int, rate float64) {
	if rate <= 0 {
		return
	}
	peakRate := rate * (1 + g.profile.DiurnalAmplitude)
	offset := float64(region) / float64(len(g.profile.Regions))
	for t := 0.0; ; {
		t += g.rng.ExpFloat64() / peakRate
		if t >= g.duration.Seconds() {
			return
		}
		rateFactor := 1 + g.profile.DiurnalAmplitude*math.Sin(2*math.Pi*(t/g.duration.Seconds()+offset))
		if g.rng.Float64()*peakRate <= rate*rateFactor {
			g.arrivals = append(g.arrivals, arrival{at: time.Duration(t * float64(time.Second)), account: account, region: region})
		}
	}
}

// chooseContent chooses the entry instance, kind and content of a request.
func (g *generator) chooseContent(a *arrival) {
	p := g.profile
	a.entry = g.rng.IntN(p.Entries[a.region])
	switch u := g.rng.Float64(); {
	case u < p.Mix.Review:
		a.kind = kindReview
		d := g.pickDocument(a)
		a.document = d.id
		a.documentTokens = d.tokens
		a.answerTokens = g.vary(p.ReviewAnswerTokens)
	case u < p.Mix.Review+p.Mix.Question:
		a.kind = kindQuestion
		a.answerTokens = g.vary(p.QuestionAnswerTokens)
	case u < p.Mix.Review+p.Mix.Question+p.Mix.Status:
		a.kind = kindStatus
	default:
		a.kind = kindWrite
	}
}

// vary returns a random number between half and one and a half times the mean.
func (g *generator) vary(mean int) int { return mean/2 + g.rng.IntN(mean+1) }

// pickDocument returns one of the documents that the account has under review in the region.
// Each use replaces the document by a new one with probability 1/RequestsPerDocument.
func (g *generator) pickDocument(a *arrival) document {
	p := g.profile
	key := [2]int{a.region, a.account}
	if g.active[key] == nil {
		share := p.Accounts[a.account].Share
		if p.Accounts[a.account].HomeRegion == "" {
			share /= float64(len(p.Regions))
		}
		n := max(int(float64(p.ActiveDocuments)*share/p.regionShare(a.region)+0.5), 1)
		for range n {
			g.active[key] = append(g.active[key], g.newDocument())
		}
	}
	i := g.rng.IntN(len(g.active[key]))
	d := g.active[key][i]
	if g.rng.Float64() < 1/p.RequestsPerDocument {
		g.active[key][i] = g.newDocument()
	}
	return d
}

func (g *generator) newDocument() document {
	g.documentCount++
	return document{id: g.documentCount, tokens: g.vary(g.profile.DocumentTokens)}
}

// crashMarker is the text that crashes an engine under the fault crashing-request.
const crashMarker = "crash-the-engine"

// bodyBuilder builds request bodies from pregenerated documents and system prompts.
type bodyBuilder struct {
	profile       Profile
	documents     []string
	systemPrompts []string
}

func newBodyBuilder(p Profile, arrivals []arrival) *bodyBuilder {
	b := &bodyBuilder{profile: p}
	for i := range p.Accounts {
		b.systemPrompts = append(b.systemPrompts, randomText(uint64(i)+1, p.SystemTokens))
	}
	for _, a := range arrivals {
		if a.kind != kindReview {
			continue
		}
		for len(b.documents) <= a.document {
			b.documents = append(b.documents, "")
		}
		if b.documents[a.document] == "" {
			b.documents[a.document] = randomText(uint64(a.document)+1000, a.documentTokens)
		}
	}
	return b
}

// randomText returns text of the given length in tokens, determined by seed.
func randomText(seed uint64, tokens int) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	var b strings.Builder
	for b.Len() < tokens*promptprefix.BytesPerToken {
		fmt.Fprintf(&b, "%06x ", rng.Uint32()&0xffffff)
	}
	return b.String()[:tokens*promptprefix.BytesPerToken]
}

// body returns the body of a request; empty for a status request.
func (b *bodyBuilder) body(a *arrival) string {
	switch a.kind {
	case kindStatus:
		return ""
	case kindWrite:
		return fmt.Sprintf(`{"order":%d,"account":%q}`, a.number, b.profile.Accounts[a.account].Name)
	}
	document := ""
	if a.kind == kindReview {
		document = `{"role":"user","content":"` + b.documents[a.document] + `"},`
	}
	marker := ""
	if a.crash {
		marker = crashMarker + " "
	}
	question := fmt.Sprintf("%srequest %d: %s", marker, a.number, randomText(uint64(a.number)+1e6, b.profile.QuestionTokens))
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"%s"},%s{"role":"user","content":"%s"}]}`,
		modelName, a.answerTokens, b.systemPrompts[a.account], document, question)
}
