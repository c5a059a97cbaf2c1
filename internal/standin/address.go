package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// firstFixedPort and lastFixedPort lie below the kernel's ephemeral range, so that no outgoing
	// connection takes them in the meantime.
	firstFixedPort = 20000
	lastFixedPort  = 32000
	// hostNumbers is the number of values used for each variable byte of a loopback address.
	hostNumbers = 250
)

// fixedPorts is the number of ports that FixedAddress has handed out or passed over.
var fixedPorts atomic.Int64

// LoopbackHost returns the loopback address of this process. Other processes have others, so that the ports
// of concurrent runs do not collide.
func LoopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/hostNumbers%hostNumbers, pid%hostNumbers)
}

// FixedAddress returns an address, as host:port, for a listener that is opened later, and again after each
// restart of a process. No address is returned twice in one process.
func FixedAddress() (string, error) {
	for {
		port := firstFixedPort + fixedPorts.Add(1) - 1
		if port > lastFixedPort {
			return "", eris.Errorf("no loopback port is left between %d and %d", firstFixedPort, lastFixedPort)
		}
		address := fmt.Sprintf("%s:%d", LoopbackHost(), port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err == nil {
			return address, nil
		}
	}
}
