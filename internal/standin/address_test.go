package standin

import (
	"net"
	"sync"
	"testing"
)

// Guards against an address that two listeners get, or that a connection of another goroutine takes.
func TestFixedAddressesAreFreeAndGivenOnce(t *testing.T) {
	const addresses, connections = 2000, 8
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range connections {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", target.Addr().String()); err == nil {
					_ = c.Close()
				}
				if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil {
					_ = l.Close()
				}
			}
		})
	}
	seen := map[string]bool{}
	for range addresses {
		address, err := FixedAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Errorf("%s was handed out twice", address)
		}
		seen[address] = true
	}
	for address := range seen {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s cannot be bound: %v", address, err)
			continue
		}
		_ = l.Close()
	}
	close(stop)
	others.Wait()
	_ = target.Close()
}
