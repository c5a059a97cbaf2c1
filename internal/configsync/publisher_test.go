package configsync

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/standin"
)

func startStore(t *testing.T) (*standin.Store, external.Store) {
	server := must(standin.StartStore("127.0.0.1:0"))
	t.Cleanup(server.Close)
	return server, etcdgw.New(server.URL())
}

func account(name string, rate float64) opconfig.Change {
	return must(opconfig.Set(opconfig.TableAccounts, name, opconfig.Account{Name: name, Rate: rate}))
}

// largeApply returns changes whose delta exceeds maxDeltaBytes.
func largeApply(prefix string) []opconfig.Change {
	var changes []opconfig.Change
	for i := range 3000 {
		changes = append(changes, account(fmt.Sprintf("%s-%d-%s", prefix, i, strings.Repeat("x", 60)), 1))
	}
	return changes
}

func mustApply(t *testing.T, store external.Store, from int64, changes ...opconfig.Change) {
	t.Helper()
	if revision, err := (&Publisher{Store: store}).Apply(t.Context(), from, changes); err != nil || revision != from+1 {
		t.Fatalf("apply on revision %d gave %d, %v", from, revision, err)
	}
}

func mustLoad(t *testing.T, store external.Store) *opconfig.Config {
	return must(Load(t.Context(), store))
}

// Guards against reporting an accepted apply as failed, or applying it twice, after its
// response was lost. Covers applies that write a base and applies that another one follows.
func TestApplyReadsBackALostAnswer(t *testing.T) {
	server, store := startStore(t)
	server.SetFaults(standin.StoreFaults{DropResponses: 1})
	mustApply(t, store, 0, account("a", 1))
	server.SetFaults(standin.StoreFaults{DropResponses: 2})
	mustApply(t, store, 1, largeApply("b")...)
	overtaken := &hookStore{Store: store, after: func(w []external.Write) error {
		if w[len(w)-1].Key != headKey {
			return nil
		}
		mustApply(t, store, mustLoad(t, store).Revision, account("next", 1))
		return external.ErrUnavailable
	}}
	mustApply(t, overtaken, 2, account("c", 1))
	mustApply(t, overtaken, 4, largeApply("d")...)
	if got := mustLoad(t, store); got.Revision != 6 || got.Accounts.Len() != 6003 {
		t.Errorf("revision %d with %d accounts, want 6 with 6003", got.Revision, got.Accounts.Len())
	}
}

// hookStore runs hooks before and after each commit.
type hookStore struct {
	external.Store
	before func([]external.Write)
	after  func([]external.Write) error
}

func (s *hookStore) Commit(ctx context.Context, c []external.Condition, w []external.Write) (bool, int64, error) {
	if s.before != nil {
		s.before(w)
	}
	ok, version, err := s.Store.Commit(ctx, c, w)
	if s.after != nil {
		err = errors.Join(err, s.after(w))
	}
	return ok, version, err
}

// Guards against reporting an apply as rejected when the store fails after a lost response.
func TestApplyReportsAnUnknownOutcome(t *testing.T) {
	server, store := startStore(t)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	failAfterCommit := &hookStore{Store: store, after: func([]external.Write) error {
		server.SetFaults(standin.StoreFaults{Outage: true})
		return external.ErrUnavailable
	}}
	_, err := (&Publisher{Store: failAfterCommit}).Apply(ctx, 0, []opconfig.Change{account("a", 1)})
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error is %v, want ErrOutcomeUnknown", err)
	}
}

// Guards against a base that mixes the shards of two operators: one overwrites a shard
// before the other's head is written, or continues after the other was accepted.
func TestConcurrentBasesAreNotMixed(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		_, store := startStore(t)
		interfered := false
		interceptor := &hookStore{Store: store, before: func(w []external.Write) {
			if interfered || accepted == (w[len(w)-1].Key == headKey) {
				return
			}
			interfered = true
			if accepted {
				mustApply(t, store, 0, largeApply("second")...)
				return
			}
			overwrite := []external.Write{{Key: shardKey(1, 0), Value: []byte("[]")}}
			if ok, _, err := store.Commit(t.Context(), []external.Condition{{Key: headKey}}, overwrite); !ok || err != nil {
				t.Fatal(ok, err)
			}
		}}
		_, err := (&Publisher{Store: interceptor}).Apply(t.Context(), 0, largeApply("first"))
		var conflict *ConflictError
		if errors.As(err, &conflict) != accepted || (err == nil) == accepted || !interfered {
			t.Errorf("accepted=%v: error is %v", accepted, err)
		}
		if got := mustLoad(t, store); got.Accounts.Len() != 3000 {
			t.Errorf("accepted=%v: %d accounts, want 3000", accepted, got.Accounts.Len())
		}
	}
}

// Guards against inconsistent results of two concurrent applies: exactly one is accepted,
// the other gets a conflict with its changes, and the base never mixes both applies.
func TestTwoOperatorsAtOnce(t *testing.T) {
	for round, size := range []string{"small", "large"} {
		_, store := startStore(t)
		mustApply(t, store, 0, account("first", 1))
		errs := make([]error, 2)
		var operators sync.WaitGroup
		for i := range errs {
			changes := []opconfig.Change{account(fmt.Sprint("operator-", i), float64(round))}
			if size == "large" {
				changes = largeApply(fmt.Sprint("operator-", i))
			}
			operators.Go(func() { _, errs[i] = (&Publisher{Store: store}).Apply(t.Context(), 1, changes) })
		}
		operators.Wait()
		var conflict *ConflictError
		if !errors.As(cmp.Or(errs[0], errs[1]), &conflict) || (errs[0] == nil) == (errs[1] == nil) {
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
// needs: the two latest bases are retained, and a reader at any revision can catch up.
func TestBasesBoundTheLog(t *testing.T) {
	_, store := startStore(t)
	const last = 2*deltasPerBase + 10
	configs := map[int64]*opconfig.Config{0: opconfig.New()}
	for revision := range int64(last) {
		mustApply(t, store, revision, account(fmt.Sprint("a", revision%50), float64(revision)))
		if revision%500 == 0 {
			configs[revision+1] = mustLoad(t, store)
		}
	}
	mustApply(t, store, last, largeApply("big")...)
	for revision, config := range configs {
		got, _, err := catchUp(t.Context(), store, config)
		if err != nil || got.Revision != last+1 || got.Accounts.Len() != 3050 {
			t.Errorf("from revision %d: got revision %d, %v", revision, got.Revision, err)
		}
	}
	deltas, err := store.List(t.Context(), deltaPrefix)
	if err != nil || len(deltas) != 10 {
		t.Errorf("%d deltas are stored, %v; want the 10 after base %d", len(deltas), err, 2*deltasPerBase)
	}
	for revision, want := range map[int64]bool{deltasPerBase: false, 2 * deltasPerBase: true, last + 1: true} {
		if _, err := readManifest(t.Context(), store, revision); (err == nil) != want {
			t.Errorf("manifest of revision %d: error %v, want it to exist: %v", revision, err, want)
		}
	}
}

// must returns v and panics on an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
