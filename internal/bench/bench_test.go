package bench

import (
	"bytes"
	"context"
	"encoding/xml"
	"io"
	"math"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/errkind"
	"heatherloom/internal/routing"
)

func smallPlan(t *testing.T) Plan {
	profile, err := ProfileByName("derwent")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPlan(profile)
	p.Duration = 2 * time.Second
	p.Rate = 100
	return p
}

// Guards against a load that differs between two policies, misses its rate, sends requests of
// an account with a home region from another region, or peaks in all regions at the same time.
func TestPlanFollowsSeed(t *testing.T) {
	g := NewWithT(t)
	p := smallPlan(t)
	p.Duration = 100 * time.Second
	a := planArrivals(p.Profile, 1, p.Duration, 50, -1, 1)
	g.Expect(planArrivals(p.Profile, 1, p.Duration, 50, -1, 1)).To(Equal(a))
	g.Expect(planArrivals(p.Profile, 2, p.Duration, 50, -1, 1)).NotTo(Equal(a))
	g.Expect(float64(len(a))).To(BeNumerically("~", 5000, 4*math.Sqrt(5000)))
	firstHalf := make([]int, len(p.Profile.Regions))
	total := make([]int, len(p.Profile.Regions))
	for _, r := range a {
		home := p.Profile.Accounts[r.account].HomeRegion
		g.Expect(home == "" || home == p.Profile.Regions[r.region]).To(BeTrue())
		total[r.region]++
		if r.at < p.Duration/2 {
			firstHalf[r.region]++
		}
	}
	g.Expect(float64(firstHalf[0]) / float64(total[0])).To(BeNumerically(">", 0.6))
	g.Expect(float64(firstHalf[2]) / float64(total[2])).To(BeNumerically("<", 0.5))
}

// Guards against a count of wrongful rejections that misses one, counts rejections above
// the rate limit, or counts one available token twice.
func TestWrongfulRefusals(t *testing.T) {
	g := NewWithT(t)
	p := smallPlan(t)
	p.GreedyFactor = 5
	rate, _ := p.limits(greedyAccount)
	a := &arrival{account: greedyAccount}
	limited := string(errkind.RateLimited)
	token := time.Duration(float64(time.Second) / rate)
	at := func(tokens float64, outcome string) sample {
		return sample{arrival: a, sent: time.Duration(tokens * float64(token)), outcome: outcome}
	}
	g.Expect(wrongfulRejections(p, []sample{at(0.5, limited), at(1.2, outcomeDone), at(1.5, limited), at(2.6, limited), at(2.7, limited)})).To(Equal(1))
}

// Guards against a run with lost or wrong responses, a missing line in the report, and a
// report that loads external resources.
func TestRun(t *testing.T) {
	g := NewWithT(t)
	p := smallPlan(t)
	p.Policies = []string{routing.NameDefault, routing.NameLeastOutstanding}
	report, err := Run(context.Background(), p)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range report.Results {
		r := &report.Results[i]
		g.Expect(r.Outcomes).To(Equal(map[string]int{outcomeDone: r.Requests}))
		g.Expect(r.Forwarded).To(BeZero())
		g.Expect(r.Totals.PrefillTokens).To(BeNumerically(">", 0))
	}
	var text, html, csv bytes.Buffer
	g.Expect(report.WriteText(&text)).To(Succeed())
	for _, name := range []string{"ttft_p99", "prefill_tokens", "worst_account_ttft_p99", "sent_away"} {
		g.Expect(text.String()).To(MatchRegexp(`(?m)^ratio metric=%s value=[0-9.]+$`, name))
	}
	g.Expect(text.String()).To(ContainSubstring("count metric=wrongful_refusals policy=default value=0\n"))
	g.Expect(report.WriteCSV(&csv)).To(Succeed())
	g.Expect(strings.Count(csv.String(), "\n")).To(Equal(1 + 2*report.Results[0].Requests))
	g.Expect(report.WriteHTML(&html)).To(Succeed())
	g.Expect(regexp.MustCompile(`(src|href)=|https?://|@import`).FindString(html.String())).To(BeEmpty())
	svg := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(html.String(), -1)
	g.Expect(svg).To(HaveLen(4))
	for _, s := range svg {
		decoder := xml.NewDecoder(strings.NewReader(s))
		for err = error(nil); err == nil; {
			_, err = decoder.Token()
		}
		g.Expect(err).To(Equal(io.EOF))
	}
}

// Guards against a stalled run that hangs instead of ending with an error.
func TestStalledRunEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	started := time.Now()
	p := smallPlan(t)
	p.Duration = time.Minute
	_, err := Run(ctx, p)
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
}

// Guards against a link without its delay or bandwidth limit, and one that still connects
// after a cut.
func TestLink(t *testing.T) {
	g := NewWithT(t)
	d := &direction{delay: 50 * time.Millisecond, bandwidth: 1e6}
	now := time.Now()
	g.Expect(d.arrivalTime(100_000).Sub(now)).To(BeNumerically("~", 150*time.Millisecond, 20*time.Millisecond))
	g.Expect(d.arrivalTime(100_000).Sub(now)).To(BeNumerically("~", 250*time.Millisecond, 20*time.Millisecond))
	g.Expect(d.bytes.Load()).To(Equal(int64(200_000)))
	w := newWAN(2, time.Millisecond, 1e6)
	w.setRegion("127.0.0.1:1", 1)
	w.setCut(1, true)
	_, err := w.dialFrom(0)(context.Background(), "tcp", "127.0.0.1:1")
	g.Expect(err).To(MatchError(errLinkCut))
}
