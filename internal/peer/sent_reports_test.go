package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

// Guards against reports that reach a peer late because an earlier message with them was lost, or not at all because
// its process restarted, and against messages that repeat all that the peer knows.
func TestEachPeerIsSentNewReportsTwiceAndTheOthersSeldom(t *testing.T) {
	const (
		reports = 70
		seconds = 60
	)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(1_000_000, 0)
		var r SentReports
		known, sent, incarnation := map[uint64]time.Time{}, 0, int64(1)
		created := map[uint64]time.Time{}
		lostBefore := false
		for range seconds {
			now = now.Add(time.Second)
			if rng.IntN(15) == 0 {
				clear(known)
				incarnation++
				for hash := range created {
					created[hash] = now
				}
			}
			if hash := uint64(rng.IntN(reports)); created[hash].IsZero() {
				created[hash] = now
			}
			selected := r.Select("peer", now)
			var message []uint64
			for hash := range created {
				if selected(hash) {
					message = append(message, hash)
				}
			}
			sent += len(message)
			// The sender notices every other loss.
			lost := !lostBefore && rng.IntN(5) == 0
			lostBefore = lost
			if lost {
				if rng.IntN(2) == 0 {
					r.Forget("peer")
				}
				continue
			}
			r.Observe("peer", incarnation, now)
			for _, hash := range message {
				known[hash] = now
			}
			for hash, at := range created {
				if _, ok := known[hash]; !ok && now.Sub(at) > 2*time.Second {
					t.Fatalf("seed %d: a report is not known %s after it was made", seed, now.Sub(at))
				}
			}
		}
		if all := len(created) * seconds; 2*sent > all {
			t.Errorf("seed %d: %d reports sent, %d if all were repeated", seed, sent, all)
		}
	}
}

// Guards against two instances that send the same crash back and forth, and against parts of a prompt that are kept
// from a peer because it reported the crash without them.
func TestWhatAPeerReportedIsNotSentBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	crash := quarantine.Crash{Fingerprint: 7, Upstream: "u", StartedAt: 3, SeenAt: now.UnixNano()}
	own := crash
	own.SeenAt += int64(30 * time.Millisecond)
	var r SentReports
	r.Received("peer", now, crashHashes([]quarantine.Crash{crash}))
	s := &routing.Snapshot{SharedCrashes: []quarantine.Crash{own}}
	if sent := encodeCrashes(s, now, r.Select("peer", now)); len(sent) != 0 {
		t.Errorf("the peer is sent %v, which it reported", sent)
	}
	if sent := encodeCrashes(s, now, r.Select("other", now)); len(sent) != 1 {
		t.Errorf("another peer is sent %v, want the crash", sent)
	}
	s.SharedCrashes[0].Parts = []quarantine.Fingerprint{9}
	if sent := encodeCrashes(s, now, r.Select("peer", now)); len(sent) != 1 || len(sent[0].GetParts()) != 1 {
		t.Errorf("the peer is sent %v, want the crash with its part", sent)
	}
}

// BenchmarkReports measures the reports of one heartbeat, with 72 crashes and 64 completions, that its peer does not
// have yet or has been sent twice.
func BenchmarkReports(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	s := &routing.Snapshot{CompletedParts: map[quarantine.Fingerprint]time.Time{}}
	for i := range 72 {
		s.SharedCrashes = append(s.SharedCrashes, quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(i), Upstream: fmt.Sprint("upstream-", i), StartedAt: now.UnixMilli(), SeenAt: now.UnixNano(), Parts: []quarantine.Fingerprint{1, 2},
		})
	}
	for i := range 64 {
		s.CompletedParts[quarantine.Fingerprint(i)] = now
	}
	for name, r := range map[string]*SentReports{"new": nil, "sent": {}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				selected := r.Select("peer", now)
				raw, err := proto.Marshal(&peerv1.HeartbeatRequest{Crashes: encodeCrashes(s, now, selected), CompletedParts: encodeCompletedParts(s, now, selected)})
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
