package admission

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a client account that fills the queue and holds up the others.
func TestGateServesAccountsInTurn(t *testing.T) {
	g := NewGate(GateLimits{Running: 1, Waiting: 3})
	if turn, err := g.enter("big"); turn != nil || err != nil {
		t.Fatal("the first request has to wait")
	}
	var big []chan bool
	for range 3 {
		turn, err := g.enter("big")
		if err != nil {
			t.Fatal(err)
		}
		big = append(big, turn)
	}
	if _, err := g.enter("big"); !errors.Is(err, ErrOverloaded) {
		t.Fatalf("the full queue took one more: %v", err)
	}
	small, err := g.enter("small")
	if err != nil || <-big[2] {
		t.Fatalf("the small account did not displace the last request of the big one: %v", err)
	}
	for i, turn := range []chan bool{big[0], small, big[1]} {
		g.Leave()
		select {
		case admitted := <-turn:
			if !admitted {
				t.Fatalf("request %d was refused", i)
			}
		default:
			t.Fatalf("request %d was passed over", i)
		}
	}
}

// Guards against a place in the gate that is lost when a waiting caller goes.
func TestGateAfterWithdrawal(t *testing.T) {
	g := NewGate(GateLimits{Running: 1, Waiting: 2})
	if err := g.Enter(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := g.Enter(ctx, "b"); !errors.Is(err, ErrOverloaded) {
		t.Fatalf("got %v", err)
	}
	g.Leave()
	if g.running != 0 || g.waiting != 0 || len(g.turns) != 0 || len(g.queues) != 0 {
		t.Fatalf("left over: %+v", g)
	}
}
