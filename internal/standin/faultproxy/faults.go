package faultproxy

import "time"

// Direction holds the faults of the bytes that flow in one direction.
type Direction struct {
	// DelayMS is added to each byte, in milliseconds, without limiting the bandwidth.
	DelayMS int64 `json:"delay_ms"`
	// BytesPerSecond is shared by all connections; 0 for no limit.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Silent holds back all bytes and the end of the stream. What was held arrives
	// once the fault is lifted, as retransmitted packets do after a partition.
	Silent bool `json:"silent"`
}

// Faults are the fault switches of a proxy. The zero value passes everything on.
// The kernel acknowledges what a process sends even while the proxy holds it back,
// so TCP keep-alive does not notice a silent connection.
type Faults struct {
	// ToTarget holds for the bytes of the client and ToClient for those of the target.
	ToTarget Direction `json:"to_target"`
	ToClient Direction `json:"to_client"`
	// Cut resets all connections, and each new one as soon as it is accepted.
	Cut bool `json:"cut"`
	// HalfOpen accepts new connections and never connects them to the target, also
	// after the fault is lifted.
	HalfOpen bool `json:"half_open"`
}

// BlackHole returns faults that let nothing through and break no connection.
func BlackHole() Faults {
	return Faults{ToTarget: Direction{Silent: true}, ToClient: Direction{Silent: true}}
}

// Latency returns faults that delay both directions by oneWay.
func Latency(oneWay time.Duration) Faults {
	d := Direction{DelayMS: oneWay.Milliseconds()}
	return Faults{ToTarget: d, ToClient: d}
}

// Counts are the figures of a proxy since its start.
type Counts struct {
	// Accepted connections include those that were reset at once.
	Accepted int64 `json:"accepted"`
	// Open is the number of connections that are open now.
	Open int64 `json:"open"`
	// BytesToTarget and BytesToClient were passed on.
	BytesToTarget int64 `json:"bytes_to_target"`
	BytesToClient int64 `json:"bytes_to_client"`
}
