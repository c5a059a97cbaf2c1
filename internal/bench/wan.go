package bench

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// linkChunkBytes is the largest chunk that is delayed as a whole, and linkChunks the
	// number of chunks in flight per connection; together they exceed the bandwidth-delay
	// product of the profiles.
	linkChunkBytes = 16 << 10
	linkChunks     = 512
)

var errLinkCut = errors.New("the link between the regions is cut")

// direction is one direction of the link between two regions; bandwidth is in bytes per
// second.
type direction struct {
	delay     time.Duration
	bandwidth float64
	bytes     atomic.Int64

	mu     sync.Mutex
	freeAt time.Time
}

// arrivalTime returns when n bytes that are sent now arrive.
func (d *direction) arrivalTime(n int) time.Time {
	d.bytes.Add(int64(n))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(float64(n) / d.bandwidth * float64(time.Second)))
	return d.freeAt.Add(d.delay)
}

// wan simulates the network between the regions. The dialing side of a connection delays
// both directions.
type wan struct {
	mu sync.Mutex
	// regionOf is indexed by the address of a peer listener.
	regionOf   map[string]int
	directions map[[2]int]*direction
	conns      map[net.Conn][2]int
	cut        map[int]bool
}

func newWAN(regions int, delay time.Duration, bandwidth float64) *wan {
	w := &wan{regionOf: map[string]int{}, directions: map[[2]int]*direction{}, conns: map[net.Conn][2]int{}, cut: map[int]bool{}}
	for from := range regions {
		for to := range regions {
			if from != to {
				w.directions[[2]int{from, to}] = &direction{delay: delay, bandwidth: bandwidth}
			}
		}
	}
	return w
}

// setRegion sets the region of an address.
func (w *wan) setRegion(address string, region int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regionOf[address] = region
}

// bytes returns the number of bytes transferred in all directions.
func (w *wan) bytes() int64 {
	var sum int64
	for _, d := range w.directions {
		sum += d.bytes.Load()
	}
	return sum
}

// setCut cuts off a region from the others, or reconnects it.
func (w *wan) setCut(region int, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[region] = cut
	for c, ends := range w.conns {
		if w.cut[ends[0]] || w.cut[ends[1]] {
			_ = c.Close()
		}
	}
}

// dialFrom returns the dial function of the instances in a region.
func (w *wan) dialFrom(from int) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		w.mu.Lock()
		to, known := w.regionOf[address]
		isCut := w.cut[from] || w.cut[to]
		w.mu.Unlock()
		if !known || to == from {
			return dialer.DialContext(ctx, network, address)
		}
		if isCut {
			return nil, errLinkCut
		}
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return w.wrap(inner, from, to), nil
	}
}

// wrap returns a connection that passes data to and from inner with the delay of the link.
func (w *wan) wrap(inner net.Conn, from, to int) net.Conn {
	near, far := net.Pipe()
	w.mu.Lock()
	w.conns[inner] = [2]int{from, to}
	w.mu.Unlock()
	closeBoth := func() {
		_ = far.Close()
		_ = inner.Close()
		w.mu.Lock()
		delete(w.conns, inner)
		w.mu.Unlock()
	}
	go copyDelayed(far, inner, w.directions[[2]int{from, to}], closeBoth)
	go copyDelayed(inner, far, w.directions[[2]int{to, from}], closeBoth)
	return near
}

type chunk struct {
	data []byte
	at   time.Time
}

// copyDelayed copies from one connection to the other with the delay of the direction.
func copyDelayed(from, to net.Conn, d *direction, closeBoth func()) {
	queue := make(chan chunk, linkChunks)
	go func() {
		for c := range queue {
			time.Sleep(time.Until(c.at))
			if _, err := to.Write(c.data); err != nil {
				break
			}
		}
		closeBoth()
		for range queue {
			continue // unblocks the reader, which ends at its next read
		}
	}()
	defer close(queue)
	buffer := make([]byte, linkChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buffer[:n]...), at: d.arrivalTime(n)}
		}
		if err != nil {
			return
		}
	}
}
