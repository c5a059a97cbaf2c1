package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
	"heatherloom/internal/usage"
)

// recentHeartbeat is how long after a heartbeat was answered its connection is taken for open. Idle ones are
// closed after idleConnTimeout.
const recentHeartbeat = time.Minute

// RecentPeers remembers which peers answered heartbeats lately. It is safe for concurrent use; a nil one remembers
// nothing.
type RecentPeers struct {
	mu       sync.Mutex
	answered map[string]time.Time
}

func (r *RecentPeers) record(address string, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered == nil {
		r.answered = map[string]time.Time{}
	}
	r.answered[address] = now
	for a, at := range r.answered {
		if now.Sub(at) > recentHeartbeat {
			delete(r.answered, a)
		}
	}
}

func (r *RecentPeers) has(address string, now time.Time) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.answered[address]
	return ok && now.Sub(at) <= recentHeartbeat
}

// UsagePeers implements usage.Peers.
type UsagePeers struct {
	Identity control.Identity
	Loop     *control.Loop
	Client   *Client
	// Recent is shared with the Heartbeater of the instance.
	Recent *RecentPeers
}

// Live implements usage.Peers.
func (u *UsagePeers) Live() []usage.Member {
	snapshot := u.Loop.Snapshot()
	members := make([]usage.Member, 0, len(snapshot.Peers))
	for i := range snapshot.Peers {
		members = append(members, usageMember(&snapshot.Peers[i]))
	}
	return members
}

func usageMember(p *routing.Peer) usage.Member {
	return usage.Member{
		Process: usage.Process{Instance: p.ID, Started: p.Incarnation},
		Address: p.PeerAddress, Heard: p.LastHeard,
	}
}

// CopyTargets implements usage.Peers: two instances of the region, then one of another region, and so on.
func (u *UsagePeers) CopyTargets() []usage.Member {
	snapshot, now := u.Loop.Snapshot(), clock.Now()
	members := map[string]usage.Member{}
	var region, others []string
	for i := range snapshot.Peers {
		p := &snapshot.Peers[i]
		if p.Suspect || p.Draining || !u.Recent.has(p.PeerAddress, now) {
			continue
		}
		members[p.ID] = usageMember(p)
		if p.Region == u.Identity.Region {
			region = append(region, p.ID)
		} else {
			others = append(others, p.ID)
		}
	}
	targets := make([]usage.Member, 0, len(members))
	for _, id := range interleave(membership.ByWeight(u.Identity.ID, region), membership.ByWeight(u.Identity.ID, others)) {
		targets = append(targets, members[id])
	}
	return targets
}

// copiesInRegion is the number of copies in the region for each one outside.
const copiesInRegion = 2

// interleave returns copiesInRegion elements of the first list for each one of the second.
func interleave(first, second []string) (all []string) {
	for len(first) > 0 || len(second) > 0 {
		n := min(len(first), copiesInRegion)
		all = append(all, first[:n]...)
		first = first[n:]
		n = min(len(second), 1)
		all = append(all, second[:n]...)
		second = second[n:]
	}
	return all
}

// Copy implements usage.Peers.
func (u *UsagePeers) Copy(ctx context.Context, to usage.Member, c usage.Copy) error {
	resp, err := u.Client.ServiceClient(to.Address).CopyUsage(ctx, connect.NewRequest(encodeUsageCopy(c)))
	if err != nil {
		return usageError(err)
	}
	switch got := decodeProcess(resp.Msg.GetProcess()); got {
	case to.Process:
		return nil
	case usage.Process{}:
		return usage.ErrUnsupported
	default:
		return fmt.Errorf("process %v answered instead of %v", got, to.Process)
	}
}

// Collect implements usage.Peers.
func (u *UsagePeers) Collect(ctx context.Context, from usage.Member, q usage.Query) (usage.Answer, error) {
	resp, err := u.Client.ServiceClient(from.Address).CollectUsage(ctx, connect.NewRequest(&peerv1.CollectUsageRequest{
		Windows: q.Windows, CopiesOf: q.CopiesOf, CopiesOnly: q.CopiesOnly, Sent: q.Sent, SettledThrough: q.SettledThrough,
	}))
	if err != nil {
		return usage.Answer{}, usageError(err)
	}
	answer := decodeUsageAnswer(resp.Msg)
	if answer.Process == (usage.Process{}) {
		return usage.Answer{}, usage.ErrUnsupported
	}
	return answer, nil
}

// usageError translates the error of a call. No process listens on an address that refuses connections.
func usageError(err error) error {
	switch {
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		return usage.ErrUnsupported
	case errors.Is(err, syscall.ECONNREFUSED):
		return usage.ErrEnded
	}
	return err
}

// CopyUsage keeps counts of another instance.
func (s *Server) CopyUsage(_ context.Context, req *connect.Request[peerv1.CopyUsageRequest]) (*connect.Response[peerv1.CopyUsageResponse], error) {
	if s.Usage == nil {
		return connect.NewResponse(&peerv1.CopyUsageResponse{}), nil
	}
	s.Usage.Receive(decodeUsageCopy(req.Msg))
	return connect.NewResponse(&peerv1.CopyUsageResponse{Process: encodeProcess(s.Usage.Ledger.Self())}), nil
}

// CollectUsage returns what this instance knows of windows.
func (s *Server) CollectUsage(_ context.Context, req *connect.Request[peerv1.CollectUsageRequest]) (*connect.Response[peerv1.CollectUsageResponse], error) {
	if s.Usage == nil {
		return connect.NewResponse(&peerv1.CollectUsageResponse{}), nil
	}
	m := req.Msg
	return connect.NewResponse(encodeUsageAnswer(s.Usage.Answer(usage.Query{
		Windows: m.GetWindows(), CopiesOf: m.GetCopiesOf(), CopiesOnly: m.GetCopiesOnly(), Sent: m.GetSent(), SettledThrough: m.GetSettledThrough(),
	}))), nil
}

func encodeUsageCopy(c usage.Copy) *peerv1.CopyUsageRequest {
	return &peerv1.CopyUsageRequest{
		Sender: encodeProcess(c.From), Parts: encodeUsageParts(c.Parts, c.From), Ended: c.Ended, Sent: encodeUsageSent(c.Sent),
	}
}

func decodeUsageCopy(m *peerv1.CopyUsageRequest) usage.Copy {
	from := decodeProcess(m.GetSender())
	return usage.Copy{From: from, Parts: decodeUsageParts(m.GetParts(), from), Ended: m.GetEnded(), Sent: decodeUsageSent(m.GetSent())}
}

func encodeUsageAnswer(a usage.Answer) *peerv1.CollectUsageResponse {
	m := &peerv1.CollectUsageResponse{
		Process: encodeProcess(a.Process), Parts: encodeUsageParts(a.Parts, a.Process), Sent: encodeUsageSent(a.Sent),
		HeldToken: a.HeldToken, HolderFloor: a.HolderFloor,
	}
	if a.HeldToken != 0 {
		// Rounded up: the holder must not take the time for shorter than it is.
		m.HeldUsAgo = a.HeldAgo.Microseconds() + 1
	}
	for _, p := range a.Ended {
		m.Ended = append(m.Ended, encodeProcess(p))
	}
	return m
}

func decodeUsageAnswer(m *peerv1.CollectUsageResponse) usage.Answer {
	process := decodeProcess(m.GetProcess())
	a := usage.Answer{
		Process: process, Parts: decodeUsageParts(m.GetParts(), process), Sent: decodeUsageSent(m.GetSent()),
		HeldToken: m.GetHeldToken(), HeldAgo: time.Duration(m.GetHeldUsAgo()) * time.Microsecond, HolderFloor: m.GetHolderFloor(),
	}
	for _, p := range m.GetEnded() {
		a.Ended = append(a.Ended, decodeProcess(p))
	}
	return a
}

func encodeProcess(p usage.Process) *peerv1.UsageProcess {
	return &peerv1.UsageProcess{Instance: p.Instance, Started: p.Started}
}

func decodeProcess(m *peerv1.UsageProcess) usage.Process {
	return usage.Process{Instance: m.GetInstance(), Started: m.GetStarted()}
}

func encodeUsageParts(parts []usage.Part, sender usage.Process) []*peerv1.UsagePart {
	encoded := make([]*peerv1.UsagePart, 0, len(parts))
	for i := range parts {
		m := &peerv1.UsagePart{Window: parts[i].Window, Total: parts[i].Total, Closed: parts[i].Closed}
		if parts[i].Process != sender {
			m.Process = encodeProcess(parts[i].Process)
		}
		m.Accounts, m.Counts = encodeUsageCounts(parts[i].Counts)
		encoded = append(encoded, m)
	}
	return encoded
}

func decodeUsageParts(parts []*peerv1.UsagePart, sender usage.Process) []usage.Part {
	decoded := make([]usage.Part, 0, len(parts))
	for _, m := range parts {
		part := usage.Part{
			Process: sender, Window: m.GetWindow(), Total: m.GetTotal(), Closed: m.GetClosed(),
			Counts: decodeUsageCounts(m.GetAccounts(), m.GetCounts()),
		}
		if m.GetProcess() != nil {
			part.Process = decodeProcess(m.GetProcess())
		}
		decoded = append(decoded, part)
	}
	return decoded
}

func encodeUsageSent(sent []usage.SentReport) []*peerv1.UsageSent {
	encoded := make([]*peerv1.UsageSent, 0, len(sent))
	for _, s := range sent {
		m := &peerv1.UsageSent{Window: s.Window, Token: s.Token, Recorded: s.Recorded, Accepted: s.Accepted}
		m.Accounts, m.Counts = encodeUsageCounts(s.Counts)
		encoded = append(encoded, m)
	}
	return encoded
}

func decodeUsageSent(sent []*peerv1.UsageSent) []usage.SentReport {
	decoded := make([]usage.SentReport, 0, len(sent))
	for _, m := range sent {
		s := usage.SentReport{
			UsageReport: external.UsageReport{Window: m.GetWindow(), Counts: decodeUsageCounts(m.GetAccounts(), m.GetCounts())},
			Token:       m.GetToken(), Recorded: m.GetRecorded(), Accepted: m.GetAccepted(),
		}
		decoded = append(decoded, s)
	}
	return decoded
}

func encodeUsageCounts(counts map[string]int64) (accounts []string, values []int64) {
	accounts, values = make([]string, 0, len(counts)), make([]int64, 0, len(counts))
	for account, count := range counts {
		accounts, values = append(accounts, account), append(values, count)
	}
	return accounts, values
}

func decodeUsageCounts(accounts []string, values []int64) map[string]int64 {
	counts := make(map[string]int64, len(accounts))
	for i, account := range accounts[:min(len(accounts), len(values))] {
		counts[account] = values[i]
	}
	return counts
}
