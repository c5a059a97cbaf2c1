package admission

import (
	"context"
	"errors"
	"testing"
	"time"
)

// enterAll queues n requests of an account one after another and sends the
// account's name when each is let in, or "-" and the name when it is refused.
func enterAll(t *testing.T, g *Gate, ctx context.Context, account string, n int, out chan<- string) {
	t.Helper()
	for range n {
		before := waitingOf(g)
		done := make(chan struct{})
		go func() {
			err := g.Enter(ctx, account)
			close(done)
			if err != nil {
				out <- "-" + account
				return
			}
			out <- account
		}()
		for waitingOf(g) == before {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}
}

func waitingOf(g *Gate) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// Guards against a client account that fills the queue and holds up the others.
func TestGateServesAccountsInTurn(t *testing.T) {
	ctx := context.Background()
	g := NewGate(GateLimits{Running: 1, Waiting: 6})
	if err := g.Enter(ctx, "big"); err != nil {
		t.Fatal(err)
	}
	out := make(chan string, 16)
	enterAll(t, g, ctx, "big", 6, out)
	if err := g.Enter(ctx, "big"); !errors.Is(err, ErrOverloaded) {
		t.Fatalf("the full queue took one more: %v", err)
	}
	go func() {
		if g.Enter(ctx, "small") == nil {
			out <- "small"
		}
	}()
	if got := <-out; got != "-big" {
		t.Fatalf("%s, want the latest request of the big account refused for the small one", got)
	}
	order := ""
	for range 4 {
		g.Leave()
		order += <-out + " "
	}
	if order != "big small big big " {
		t.Fatalf("order %q", order)
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
	if err := g.Enter(context.Background(), "c"); err != nil {
		t.Fatal(err)
	}
}
