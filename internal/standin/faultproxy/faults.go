package faultproxy

import "time"

// DirectionFaults holds the faults of one direction of the connections.
type DirectionFaults struct {
	// DelayMS delays each byte, in milliseconds, without limiting the bandwidth.
	DelayMS int64 `json:"delay_ms"`
	// BytesPerSecond limits the bandwidth, shared by all connections; 0 for no limit.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Silent holds back all bytes and the end of the stream. They are delivered once the
	// fault is cleared, as retransmitted packets are after a partition.
	Silent bool `json:"silent"`
}

// Faults are the injected faults of a proxy. The zero value forwards everything.
// The kernel acknowledges received bytes even while the proxy holds them back, so TCP
// keep-alive does not detect a silent connection.
type Faults struct {
	// ToTarget applies to bytes sent by the client and ToClient to those sent by the target.
	ToTarget DirectionFaults `json:"to_target"`
	ToClient DirectionFaults `json:"to_client"`
	// Cut resets all open connections, and each new one as soon as it is accepted.
	Cut bool `json:"cut"`
	// Refuse resets each new connection as soon as it is accepted. Open ones live on.
	Refuse bool `json:"refuse"`
	// HalfOpen accepts new connections and never connects them to the target, even after
	// the fault is cleared.
	HalfOpen bool `json:"half_open"`
}

// BlackHole returns faults that silence both directions without closing connections.
func BlackHole() Faults {
	return Faults{ToTarget: DirectionFaults{Silent: true}, ToClient: DirectionFaults{Silent: true}}
}

// Latency returns faults that delay both directions by oneWay.
func Latency(oneWay time.Duration) Faults {
	d := DirectionFaults{DelayMS: oneWay.Milliseconds()}
	return Faults{ToTarget: d, ToClient: d}
}

// Counts are the counters of a proxy since its start.
type Counts struct {
	// Accepted is the number of accepted connections, including those reset immediately.
	Accepted int64 `json:"accepted"`
	// Open is the number of currently open connections.
	Open int64 `json:"open"`
	// BytesToTarget and BytesToClient are the numbers of forwarded bytes.
	BytesToTarget int64 `json:"bytes_to_target"`
	BytesToClient int64 `json:"bytes_to_client"`
}
