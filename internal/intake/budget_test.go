package intake

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"
)

// testBudget is a budget whose clock stands still unless it is moved.
type testBudget struct {
	*Budget
	at time.Time
}

func newTestBudget(limit int64) *testBudget {
	b := &testBudget{Budget: NewBudget(limit), at: time.Unix(1e6, 0)}
	b.now = func() time.Time { return b.at }
	return b
}

// testShare is a share that is released as soon as it has to yield.
type testShare struct {
	*Share
	yields int
}

func (b *testBudget) share() *testShare {
	s := &testShare{}
	s.Share = b.NewShare(nil, func() {
		s.yields++
		go s.Release()
	})
	return s
}

const large = 4 * SmallBytes

// Guards against unfinished requests that hold the memory which others need, and against requests that yield although
// they progress or have arrived whole.
func TestUnfinishedRequestsYield(t *testing.T) {
	for name, c := range map[string]struct {
		// stalled is how long the first request has made no progress when the second one arrives.
		stalled   time.Duration
		complete  bool
		size      int64
		wantFirst int
		want      bool
	}{
		"stalled to a large one":     {stalled: StallTime, size: large, wantFirst: 1, want: true},
		"progressing to a large one": {stalled: StallTime / 2, size: large, wantFirst: 0, want: false},
		"progressing to a small one": {stalled: StallTime / 2, size: SmallBytes, wantFirst: 1, want: true},
		"whole to a large one":       {stalled: time.Hour, complete: true, size: large, wantFirst: 0, want: false},
		"whole to a small one":       {stalled: time.Hour, complete: true, size: SmallBytes, wantFirst: 0, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBudget(reserveDivisor * large)
			first := b.share()
			if !first.Grow((reserveDivisor - 1) * large) {
				t.Fatal("an empty budget refused")
			}
			for range large / SmallBytes {
				if s := b.share(); !s.Grow(SmallBytes) || !s.Complete() {
					t.Fatal("the reserve refused small requests")
				}
			}
			if c.complete {
				first.Complete()
			}
			b.at = b.at.Add(c.stalled)
			if got := b.share().Grow(c.size); got != c.want || first.yields != c.wantFirst {
				t.Errorf("the second request got its memory: %v (want %v), the first one yielded %d times (want %d)", got, c.want, first.yields, c.wantFirst)
			}
		})
	}
}

// Guards against large requests that leave no memory to small ones.
func TestLargeRequestsLeaveAReserve(t *testing.T) {
	b := newTestBudget(reserveDivisor * large)
	if s := b.share(); s.Grow((reserveDivisor-1)*large+1) || !s.Grow((reserveDivisor-1)*large) {
		t.Error("a large request may take all but the reserve")
	}
	if s := b.share(); !s.Grow(SmallBytes) || s.Grow(SmallBytes*reserveDivisor) {
		t.Error("a small request may use the reserve, and may not outgrow it")
	}
}

// Guards against a request that yields before one that has been without progress for longer.
func TestTheLongestWithoutProgressYieldsFirst(t *testing.T) {
	b := newTestBudget(reserveDivisor * large)
	shares := []*testShare{b.share(), b.share(), b.share()}
	for _, s := range shares {
		if !s.Grow(4 * large) {
			t.Fatal("an empty budget refused")
		}
		b.at = b.at.Add(time.Second)
	}
	shares[0].Progress()
	b.at = b.at.Add(time.Second)
	if !b.share().Grow(4*large) || shares[0].yields != 0 || shares[1].yields != 1 || shares[2].yields != 0 {
		t.Errorf("yields: %d, %d, %d; want only the second", shares[0].yields, shares[1].yields, shares[2].yields)
	}
	if shares[1].Grow(1) {
		t.Error("a request that yielded may grow")
	}
}

// Guards against a budget that is exceeded or that loses memory, whatever requests do.
func TestBudgetHoldsInRandomRuns(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := newTestBudget(64 * SmallBytes)
		var shares []*testShare
		for range 500 {
			b.at = b.at.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			if len(shares) == 0 || rng.IntN(4) == 0 {
				shares = append(shares, b.share())
			}
			i := rng.IntN(len(shares))
			switch rng.IntN(6) {
			case 0:
				shares[i].Complete()
			case 1:
				shares[i].Release()
				shares = append(shares[:i], shares[i+1:]...)
			default:
				shares[i].Grow(rng.Int64N(4 * SmallBytes))
			}
			if used := b.Used(); used < 0 || used > b.Limit() {
				t.Fatalf("seed %d: %d bytes held of %d", seed, used, b.Limit())
			}
		}
		for _, s := range shares {
			s.Release()
		}
		for end := time.Now().Add(5 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("seed %d: %d bytes held after the end of all requests", seed, b.Used())
			}
		}
		b.mu.Lock()
		if b.yielding != 0 || b.unfinished.Len() != 0 {
			t.Errorf("seed %d: %d bytes yield and %d requests are unfinished", seed, b.yielding, b.unfinished.Len())
		}
		b.mu.Unlock()
	}
}

// Guards against a body that is changed, or whose memory is not counted, on its way into one slice.
func TestReadBodyHoldsWhatItReturns(t *testing.T) {
	for _, size := range []int{0, 1, 100, 64 << 10, 200<<10 + 7, 2 << 20} {
		body := bytes.Repeat([]byte("0123456789abc"), size/13+1)[:size]
		for _, declared := range []int64{-1, int64(size)} {
			b := NewBudget(8 << 20)
			s := b.NewShare(nil, func() {})
			got, err := ReadBody(s, iotest.HalfReader(bytes.NewReader(body)), declared)
			if err != nil || !bytes.Equal(got, body) {
				t.Fatalf("%d bytes, %d declared: got %d bytes, %v", size, declared, len(got), err)
			}
			if used := b.Used(); used < int64(cap(got)) {
				t.Errorf("%d bytes, %d declared: %d bytes counted of %d", size, declared, used, cap(got))
			}
			if s.Release(); b.Used() != 0 {
				t.Errorf("%d bytes, %d declared: %d bytes counted after the release", size, declared, b.Used())
			}
		}
	}
}

// Guards against memory that is paid for as it is announced, and against a body that outgrows the budget.
func TestReadBodyTakesMemoryAsItArrives(t *testing.T) {
	b := NewBudget(1 << 20)
	s := b.NewShare(nil, func() {})
	arrived, announced := int64(100<<10), int64(1<<30)
	_, err := ReadBody(s, io.MultiReader(io.LimitReader(zeros{}, arrived), iotest.ErrReader(io.ErrUnexpectedEOF)), announced)
	if !errors.Is(err, io.ErrUnexpectedEOF) || b.Used() > 2*arrived {
		t.Errorf("got %v, %d bytes counted for %d", err, b.Used(), arrived)
	}
	s.Release()
	if _, err := ReadBody(b.NewShare(nil, func() {}), zeros{}, -1); !errors.Is(err, ErrNoMemory) {
		t.Errorf("a body without end: %v", err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
