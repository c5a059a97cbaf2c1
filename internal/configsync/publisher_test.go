package configsync

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/platform"
	"heatherloom/internal/platform/etcdgw"
	"heatherloom/internal/standin"
)

func startStore(t *testing.T) (*standin.Store, platform.Store) {
	t.Helper()
	server, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, etcdgw.New(server.URL())
}

func account(t *testing.T, name string, rate float64) opconfig.Change {
	t.Helper()
	change, err := opconfig.Set(opconfig.TableAccounts, name, opconfig.Account{Name: name, Rate: rate})
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// largeApply returns changes whose delta exceeds the limit of one delta.
func largeApply(t *testing.T, prefix string) []opconfig.Change {
	t.Helper()
	var changes []opconfig.Change
	for i := range 3000 {
		changes = append(changes, account(t, fmt.Sprintf("%s-%d-%s", prefix, i, strings.Repeat("x", 60)), 1))
	}
	return changes
}

func mustApply(t *testing.T, store platform.Store, from int64, changes ...opconfig.Change) {
	t.Helper()
	revision, err := (&Publisher{Store: store}).Apply(t.Context(), from, changes)
	if err != nil || revision != from+1 {
		t.Fatalf("apply on revision %d gave %d, %v", from, revision, err)
	}
}

func mustLoad(t *testing.T, store platform.Store) *opconfig.Config {
	t.Helper()
	config, err := Load(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// Guards against reporting an accepted apply as failed, or writing it twice, after
// its answer was lost; also for an apply that is written as a base.
func TestApplyReadsBackALostAnswer(t *testing.T) {
	server, store := startStore(t)
	server.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	mustApply(t, store, 0, account(t, "a", 1))
	server.SetFaults(standin.StoreFaults{LoseAnswers: 2})
	mustApply(t, store, 1, largeApply(t, "b")...)
	if got := mustLoad(t, store); got.Revision != 2 || got.Accounts.Len() != 3001 {
		t.Errorf("revision %d with %d accounts, want 2 with 3001", got.Revision, got.Accounts.Len())
	}
}

// Guards against an outage after a lost answer being reported as a refusal.
func TestApplyReportsAnUnknownOutcome(t *testing.T) {
	server, store := startStore(t)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	// The outage begins once the write has taken effect and its answer is lost.
	failing := &hookStore{Store: store, afterCommit: func() error {
		server.SetFaults(standin.StoreFaults{Outage: true})
		return platform.ErrUnavailable
	}}
	_, err := (&Publisher{Store: failing}).Apply(ctx, 0, []opconfig.Change{account(t, "a", 1)})
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error is %v, want ErrOutcomeUnknown", err)
	}
}

type hookStore struct {
	platform.Store
	afterCommit func() error
}

func (s *hookStore) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (bool, int64, error) {
	ok, version, err := s.Store.Commit(ctx, c, w)
	return ok, version, errors.Join(err, s.afterCommit())
}

// Guards against two operators at once: exactly one is accepted, the other hears
// of its changes, and the base is never a mixture of both applies.
func TestTwoOperatorsAtOnce(t *testing.T) {
	for round, size := range []string{"small", "large"} {
		_, store := startStore(t)
		mustApply(t, store, 0, account(t, "first", 1))
		errs := make([]error, 2)
		var operators sync.WaitGroup
		for i := range errs {
			changes := []opconfig.Change{account(t, fmt.Sprint("operator-", i), float64(round))}
			if size == "large" {
				changes = largeApply(t, fmt.Sprint("operator-", i))
			}
			operators.Go(func() { _, errs[i] = (&Publisher{Store: store}).Apply(t.Context(), 1, changes) })
		}
		operators.Wait()
		loser := errs[0]
		if loser == nil {
			loser = errs[1]
		}
		var conflict *ConflictError
		if !errors.As(loser, &conflict) || (errs[0] == nil) == (errs[1] == nil) {
			t.Fatalf("%s: errors are %v", size, errs)
		}
		if conflict.Incomplete != (size == "large") || (size == "small" && len(conflict.Changes) != 1) {
			t.Errorf("%s: conflict is incomplete=%v with %d changes", size, conflict.Incomplete, len(conflict.Changes))
		}
		if got := mustLoad(t, store); got.Revision != 2 {
			t.Errorf("%s: revision is %d, want 2", size, got.Revision)
		}
	}
}

// Guards against a log that grows without bound and against deleting what a reader
// needs: the two latest bases are kept, and a reader at any revision catches up.
func TestBasesBoundTheLog(t *testing.T) {
	_, store := startStore(t)
	const last = 2*deltasPerBase + 10
	configs := map[int64]*opconfig.Config{0: opconfig.New()}
	for revision := range int64(last) {
		mustApply(t, store, revision, account(t, fmt.Sprint("a", revision%50), float64(revision)))
		if revision%500 == 0 {
			configs[revision+1] = mustLoad(t, store)
		}
	}
	mustApply(t, store, last, largeApply(t, "big")...)
	for revision, config := range configs {
		got, _, err := catchUp(t.Context(), store, config)
		if err != nil || got.Revision != last+1 || got.Accounts.Len() != 3050 {
			t.Errorf("from revision %d: got revision %d, %v", revision, got.Revision, err)
		}
	}
	deltas, err := store.List(t.Context(), deltaPrefix)
	if err != nil || len(deltas) != 10 {
		t.Errorf("%d deltas are kept, %v; want the 10 after base %d", len(deltas), err, 2*deltasPerBase)
	}
	for revision, want := range map[int64]bool{deltasPerBase: false, 2 * deltasPerBase: true, last + 1: true} {
		if _, err := readManifest(t.Context(), store, revision); (err == nil) != want {
			t.Errorf("manifest of revision %d: %v, want it to exist: %v", revision, err, want)
		}
	}
}
