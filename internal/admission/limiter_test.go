package admission

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a client account that fills the queue and starves the others.
func TestGateServesAccountsInTurn(t *testing.T) {
	l := NewLimiter(Limits{MaxRunning: 1, MaxWaiting: 3})
	if decision, err := l.tryAcquire("big"); decision != nil || err != nil {
		t.Fatal("the first request was not admitted immediately")
	}
	var big []chan bool
	for range 3 {
		decision, err := l.tryAcquire("big")
		if err != nil {
			t.Fatal(err)
		}
		big = append(big, decision)
	}
	if _, err := l.tryAcquire("big"); !errors.Is(err, ErrOverloaded) {
		t.Fatalf("the full queue accepted another request: %v", err)
	}
	small, err := l.tryAcquire("small")
	if err != nil || <-big[2] {
		t.Fatalf("the small account did not displace the last request of the big account: %v", err)
	}
	for i, decision := range []chan bool{big[0], small, big[1]} {
		l.Release()
		select {
		case admitted := <-decision:
			if !admitted {
				t.Fatalf("request %d was rejected", i)
			}
		default:
			t.Fatalf("request %d was not admitted in its turn", i)
		}
	}
}

// Guards against losing capacity when a waiting caller disconnects.
func TestGateAfterWithdrawal(t *testing.T) {
	l := NewLimiter(Limits{MaxRunning: 1, MaxWaiting: 2})
	if err := l.Acquire(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := l.Acquire(ctx, "b"); !errors.Is(err, ErrOverloaded) {
		t.Fatalf("got %v", err)
	}
	l.Release()
	if l.running != 0 || l.waiting != 0 || len(l.rotation) != 0 || len(l.queues) != 0 {
		t.Fatalf("the limiter is not empty: %+v", l)
	}
}
