package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
	"heatherloom/internal/promptprefix"
)

const target = "lantern@1"

func engineSnapshot(n int) *Snapshot {
	s := &Snapshot{Region: "hobart", SelfID: "entry"}
	for i := range n {
		s.Upstreams = append(s.Upstreams, Upstream{
			ID: fmt.Sprintf("engine-%d", i), Region: "hobart", Role: external.RoleEngine, Targets: []string{target}, Counters: &Counters{},
		})
	}
	for i, region := range []string{"hobart", "launceston", "burnie"} {
		s.Peers = append(s.Peers, Peer{ID: fmt.Sprintf("peer-%d", i), Region: region, Counters: &Counters{}, RegionStatus: RegionStatus{Engines: 4, RoundTripSeconds: 0.11}})
	}
	s.BuildIndexes()
	return s
}

func promptOf(seed, blocks int) promptprefix.Prompt {
	content := make([]byte, blocks*promptprefix.BlockBytes)
	for i := range content {
		content[i] = byte('a' + (i*7+seed*13+i/promptprefix.BlockBytes*seed)%26)
	}
	return promptprefix.HashContent(target, content)
}

func requestOf(p promptprefix.Prompt) *Request {
	return &Request{Target: target, Prefix: p.Hashes, PromptTokens: int64(p.Tokens), BodyBytes: int64(p.Tokens) * 4, Now: time.Now().UnixNano()}
}

func testPolicy(t testing.TB, name string, index *PrefixIndex) Policy {
	p, err := NewPolicy(name, PresetWeights(PresetDerwent), index)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a policy that ignores health, draining upstreams, failed attempts, the
// home region (I1) or the limit on forwards (I2).
func TestFilters(t *testing.T) {
	for _, name := range PolicyNames() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := engineSnapshot(4)
			s.Upstreams[0].Down = true
			s.Upstreams[1].Draining = true
			p := testPolicy(t, name, NewPrefixIndex())
			x := NewScratch(1)
			r := requestOf(promptOf(1, 4))
			r.Tried = []string{"engine-2"}
			for range 100 {
				choice, err := p.Pick(s, r, x)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(choice.Upstream).To(Equal(int32(3)))
			}
			r.BoundRegion = "burnie"
			for range 100 {
				choice, err := p.Pick(s, r, x)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(choice.Upstream).To(Equal(none))
				g.Expect(s.Peers[choice.Peer].Region).To(Equal("burnie"))
			}
			r.Visited = []string{"peer-1"}
			_, err := p.Pick(s, r, x)
			var rejection *errkind.Error
			g.Expect(errors.As(err, &rejection)).To(BeTrue())
			g.Expect(rejection.Kind).To(Equal(errkind.HomeUnavailable))
		})
	}
}

// Guards against a policy that does not use the prefix index or overloads the upstream that
// holds a prefix, and against an index that keeps what the engine evicted.
func TestPrefixAffinity(t *testing.T) {
	g := NewWithT(t)
	s := engineSnapshot(8)
	index := NewPrefixIndex()
	p := testPolicy(t, NameDefault, index)
	x := NewScratch(1)
	prompt := promptOf(1, 20)
	r := requestOf(prompt)
	holder := &s.Upstreams[5]
	index.Add(r.Now, holder.Counters.HolderID(), prompt.Hashes)
	for range 100 {
		choice, _ := p.Pick(s, r, x)
		g.Expect(choice.Upstream).To(Equal(int32(5)))
		g.Expect(choice.PrefillTokens).To(BeNumerically("<", promptprefix.BlockTokens))
	}
	prefill := holder.Counters.Begin(time.Now(), 20000, 0)
	choice, _ := p.Pick(s, r, x)
	g.Expect(choice.Upstream).NotTo(Equal(int32(5)))
	prefill.End(time.Now())
	index.Remove(holder.Counters.HolderID(), prompt.Hashes[10:])
	choice, _ = p.Pick(s, r, x)
	g.Expect(choice.PrefillTokens).To(BeNumerically(">=", 10*promptprefix.BlockTokens))
	holder.Counters.ForgetPrefixes()
	s.BuildIndexes()
	choice, _ = p.Pick(s, r, x)
	g.Expect(choice.PrefillTokens).To(Equal(int64(prompt.Tokens)))
}

// Guards against a request that is forwarded to another region although that saves nothing,
// and against one that waits in a long queue or is forwarded to a region without engines.
func TestSpill(t *testing.T) {
	g := NewWithT(t)
	s := engineSnapshot(2)
	p := testPolicy(t, NameDefault, NewPrefixIndex())
	x := NewScratch(1)
	r := requestOf(promptOf(1, 20))
	for range 100 {
		choice, _ := p.Pick(s, r, x)
		g.Expect(choice.Peer).To(Equal(none))
	}
	for i := range s.Upstreams {
		s.Upstreams[i].Counters.Begin(time.Now(), 500_000, 0)
	}
	s.Peers[1].RegionStatus.Engines = 0
	for range 100 {
		choice, _ := p.Pick(s, r, x)
		g.Expect(choice.Peer).To(Equal(int32(2)))
	}
}

// Guards against an index whose memory grows with the number of prompts.
func TestIndexIsBounded(t *testing.T) {
	g := NewWithT(t)
	index := NewPrefixIndex()
	for i := range 200 {
		hashes := make([]uint64, 1000)
		for k := range hashes {
			hashes[k] = uint64(i*1000+k) * 0x9e3779b97f4a7c15
		}
		index.Add(int64(i), 1, hashes)
	}
	newest := uint64(199_999)
	g.Expect(index.matches(199, []uint64{newest * 0x9e3779b97f4a7c15}, nil)).To(HaveLen(1))
	g.Expect(index.matches(199, []uint64{0x9e3779b97f4a7c15}, nil)).To(BeEmpty())
	g.Expect(index.matches(199+int64(prefixTTL)+1, []uint64{newest * 0x9e3779b97f4a7c15}, nil)).To(BeEmpty())
}

// pickTarget is the target for the duration of one pick, from section 11 of docs/design.md.
const pickTarget = 5 * time.Microsecond

func BenchmarkPick(b *testing.B) {
	for _, name := range PolicyNames() {
		for _, n := range []int{20, 500} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				s := engineSnapshot(n)
				index := NewPrefixIndex()
				p := testPolicy(b, name, index)
				prompt := promptOf(1, 25)
				r := requestOf(prompt)
				for i := range 4 {
					index.Add(r.Now, s.Upstreams[i].Counters.HolderID(), prompt.Hashes[:20])
				}
				x := NewScratch(1)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := p.Pick(s, r, x); err != nil {
						b.Fatal(err)
					}
				}
				if perPick := b.Elapsed() / time.Duration(b.N); perPick > pickTarget {
					b.Logf("one pick took %s, the target is %s", perPick, pickTarget)
				}
			})
		}
	}
}

// Guards against picks that allocate.
func TestPickDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	s := engineSnapshot(500)
	r := requestOf(promptOf(1, 25))
	x := NewScratch(1)
	for _, name := range PolicyNames() {
		p := testPolicy(t, name, NewPrefixIndex())
		g.Expect(testing.AllocsPerRun(100, func() { _, _ = p.Pick(s, r, x) })).To(BeZero(), name)
	}
}
