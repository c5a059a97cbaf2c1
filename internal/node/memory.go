package node

import (
	"math"
	"runtime/debug"

	"heatherloom/internal/settings"
)

const (
	bytesPerMB = 1e6
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the
	// memory granted to the process. Near it the garbage collector runs continuously.
	memoryLimitFraction = 0.7
	// gcPercent is the GOGC value. It trades CPU time for memory: collecting a small heap
	// takes little CPU time, and memory is the more expensive of the two.
	gcPercent = 50
	// tableMemoryMB is the memory for the program and the tables of the instance. Requests may take requestMemoryFraction
	// of the rest, and minRequestMemoryFraction of the whole in a small process. What is left is for buffered responses
	// (relay.Limits), bytes that the kernel has received, and the garbage collector.
	tableMemoryMB            = 60
	requestMemoryFraction    = 0.7
	minRequestMemoryFraction = 0.25
	// defaultRequestMemoryMB applies to a process whose memory is not limited.
	defaultRequestMemoryMB = 256
)

// limitMemory sets the limits of the Go runtime if the memory of the process is limited.
func limitMemory(p settings.Process) {
	if p.MemoryMB <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(math.Round(memoryLimitFraction * p.MemoryMB * bytesPerMB)))
}

// memoryBytes returns the memory limit of the process; 0 for none.
func memoryBytes(p settings.Process) int64 { return int64(p.MemoryMB * bytesPerMB) }

// requestMemoryBytes returns the memory for requests that arrive or are at work.
func requestMemoryBytes(p settings.Process) int64 {
	switch {
	case p.RequestMemoryMB > 0:
		return int64(p.RequestMemoryMB * bytesPerMB)
	case p.MemoryMB > 0:
		return int64(max(requestMemoryFraction*(p.MemoryMB-tableMemoryMB), minRequestMemoryFraction*p.MemoryMB) * bytesPerMB)
	default:
		return defaultRequestMemoryMB * bytesPerMB
	}
}
