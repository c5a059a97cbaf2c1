package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

var baseTime = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// skewedClock returns a wall clock that differs from a shared time by skew.
func skewedClock(sharedTime *time.Time, skew time.Duration) func() time.Time {
	return func() time.Time { return sharedTime.Add(skew) }
}

var _ = Describe("the clock", func() {
	// Guards against an effect that is shown before its cause because the wall
	// clocks of two instances differ.
	It("orders cause before effect over instances with skewed wall clocks", func() {
		const instances, messages = 5, 2000
		random := rand.New(rand.NewPCG(1, 2))
		sharedTime := baseTime
		var recorders []*Recorder
		for i := range instances {
			skew := time.Duration(random.IntN(40_000)-20_000) * time.Millisecond
			recorders = append(recorders, NewRecorder(fmt.Sprint("i", i), NewClock(skewedClock(&sharedTime, skew)), 2*messages, 1))
		}
		for m := range messages {
			sharedTime = sharedTime.Add(time.Duration(random.IntN(3)) * time.Millisecond)
			from, to := recorders[random.IntN(instances)], recorders[random.IntN(instances)]
			from.Record(Event{Kind: KindForwarded, Request: fmt.Sprint(m)})
			Expect(to.Clock().Observe(from.Clock().Now())).To(BeTrue())
			to.Record(Event{Kind: KindForwardReceived, Request: fmt.Sprint(m)})
		}
		var lists [][]Event
		for _, r := range recorders {
			lists = append(lists, r.Since(0), r.Since(0))
		}
		sent := map[string]bool{}
		merged := Merge(lists...)
		Expect(merged).To(HaveLen(2 * messages))
		for _, e := range merged {
			if e.Kind == KindForwardReceived {
				Expect(sent).To(HaveKey(e.Request))
			}
			sent[e.Request] = true
		}
	})

	// Guards against one instance with a wrong clock that advances all others.
	It("does not adopt a reading more than one minute ahead", func() {
		sharedTime := baseTime
		clock := NewClock(skewedClock(&sharedTime, 0))
		Expect(clock.Observe(StampOf(baseTime.Add(time.Minute + time.Millisecond)))).To(BeFalse())
		Expect(clock.Now()).To(Equal(StampOf(baseTime)))
		Expect(clock.Observe(StampOf(baseTime.Add(time.Minute)))).To(BeTrue())
		Expect(clock.Now()).To(BeNumerically(">", StampOf(baseTime.Add(time.Minute))))
	})

	// Guards against equal readings when the counter of a millisecond overflows, when
	// the wall clock steps back, and under concurrent use.
	It("only moves forward", func() {
		sharedTime := baseTime
		clock := NewClock(skewedClock(&sharedTime, 0))
		last := clock.Now()
		for range counterMask + 10 {
			next := clock.Now()
			if next <= last {
				Fail("the clock did not move forward")
			}
			last = next
		}
		sharedTime = baseTime.Add(-time.Hour)
		Expect(clock.Now()).To(BeNumerically(">", last))

		var mu sync.Mutex
		var group sync.WaitGroup
		seen := map[Stamp]bool{}
		for range 8 {
			group.Go(func() {
				for range 500 {
					reading := clock.Now()
					mu.Lock()
					seen[reading] = true
					mu.Unlock()
				}
			})
		}
		group.Wait()
		Expect(seen).To(HaveLen(8 * 500))
	})

	// Guards against a reading that loses its low bits when it is encoded as JSON.
	It("keeps a stamp exact in text", func() {
		stamp := StampOf(baseTime) + 65535
		raw, err := json.Marshal(Event{Clock: stamp})
		Expect(err).NotTo(HaveOccurred())
		var decoded Event
		Expect(json.Unmarshal(raw, &decoded)).To(Succeed())
		Expect(decoded.Clock).To(Equal(stamp))
		for _, bad := range []string{"", "x", "1.65536", "-1.0", "281474976710656.0"} {
			_, err := ParseStamp(bad)
			Expect(err).To(HaveOccurred(), bad)
		}
	})
})

var _ = Describe("the recorder", func() {
	// Guards against a ring buffer that grows, loses its order or returns overwritten
	// events when it overflows.
	It("keeps the latest events on overflow", func() {
		r := NewRecorder("a", NewClock(time.Now), 16, 4)
		for i := range 40 {
			r.Record(Event{Kind: KindRequestReceived, Request: "r", Detail: fmt.Sprint(i)})
		}
		events := r.Since(0)
		Expect(events).To(HaveLen(16))
		Expect(events[0].Detail).To(Equal("24"))
		Expect(events[15].Detail).To(Equal("39"))
		Expect(r.Overwritten()).To(BeNumerically("==", 24))
		Expect(r.Since(events[12].Clock)).To(Equal(events[13:]))
		Expect(JSONSource{r}.Since(uint64(events[14].Clock))).To(HaveLen(1))
	})

	// Guards against text from callers that exhausts the memory of the process.
	It("bounds the detail of an event", func() {
		r := NewRecorder("a", NewClock(time.Now), 1, 1)
		r.Record(Event{Detail: strings.Repeat("é", maxDetailBytes)})
		Expect(len(r.Since(0)[0].Detail)).To(BeNumerically("<=", maxDetailBytes))
	})

	// Guards against request events that overwrite the start of a drain or a
	// configuration change.
	It("keeps other events while requests overflow", func() {
		r := NewRecorder("a", NewClock(time.Now), 16, 4)
		r.Record(Event{Kind: KindConfigInForce})
		for range 40 {
			r.Record(Event{Kind: KindRequestReceived, Request: "r"})
		}
		Expect(r.Since(0)[0].Kind).To(Equal(KindConfigInForce))
	})
})

var _ = Describe("the filter", func() {
	// Guards against a filter by client account that hides the failed attempts of
	// that account's requests or shows those of another account.
	It("selects whole requests by client account", func() {
		events := []Event{
			{Request: "1", Kind: KindRequestReceived}, {Request: "1", Account: "a"}, {Request: "2", Account: "b"}, {Kind: KindConfigInForce},
		}
		Expect(Filter{Account: "a"}.Apply(events)).To(Equal(events[:2]))
		Expect(Filter{Request: "2"}.Apply(events)).To(Equal(events[2:3]))
		Expect(Filter{}.Apply(events)).To(Equal(events))
	})
})

var _ = Describe("the output", func() {
	const injection = `"><script>alert(1)</script><img src=x onerror=alert(1)>` + "\nforged line"
	event := Event{Instance: injection, Kind: Kind(injection), Request: injection, Account: injection, Version: injection, Upstream: injection, Detail: injection}

	// Guards against text of a caller or upstream that an operator's browser interprets
	// as markup, and against a page that loads external resources.
	It("escapes injected text in HTML", func() {
		var out bytes.Buffer
		Expect(RenderHTML(&out, Page{Title: injection, Events: []Event{event, {Instance: "b"}}, Missing: []string{injection}})).To(Succeed())
		page := out.String()
		Expect(page).NotTo(ContainSubstring("<script"))
		Expect(page).NotTo(ContainSubstring("<img"))
		Expect(page).To(ContainSubstring("&lt;script&gt;"))
		Expect(page).NotTo(MatchRegexp(`(?i)(src|href)\s*=\s*"?https?:`))
		for row := range strings.SplitSeq(page, "\n") {
			if strings.HasPrefix(row, `<tr><td class="time">`) && strings.Contains(row, "</tr>") {
				Expect(strings.Count(row, "<td")).To(Equal(3), row) // a time and two lanes
			}
		}
	})

	It("writes one text line per event", func() { // guards against forged lines
		var out bytes.Buffer
		Expect(RenderText(&out, []Event{event})).To(Succeed())
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	})
})

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("entry-1", NewClock(time.Now), DefaultRequestEvents, DefaultStateEvents)
	e := Event{Kind: KindUpstreamPicked, Request: "0b7d0a52", Account: "derwent", Version: "1", Upstream: "engine-1"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(e)
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	r := NewRecorder("entry-1", NewClock(time.Now), DefaultRequestEvents, DefaultStateEvents)
	e := Event{Kind: KindUpstreamPicked, Request: "0b7d0a52", Account: "derwent", Version: "1", Upstream: "engine-1"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(e)
		}
	})
}
