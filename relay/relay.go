package relay

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Relay forwards UDP packets between clients and one server; up is the direction to the server.
type Relay struct {
	socket net.PacketConn
	server string
	mu     sync.Mutex
	flows  map[string]*flow
	up     trigger
	down   trigger
}

// flow is the traffic of one client socket; packets of an impaired direction are delayed by delay, in nanoseconds, or dropped if it is 0.
type flow struct {
	conn         net.Conn
	upImpaired   atomic.Bool
	downImpaired atomic.Bool
	delay        atomic.Int64
}

// trigger calls run once, after the remaining bytes have been relayed.
type trigger struct {
	remaining int
	run       func()
}

// New listens on a free loopback port and relays to the server's address; call Close to stop it.
func New(server string) (*Relay, error) {
	s, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the relay")
	}
	r := &Relay{socket: s, server: server, flows: map[string]*flow{}}
	go r.serve()
	return r, nil
}

// Address returns the address that clients send to.
func (r *Relay) Address() string {
	return r.socket.LocalAddr().String()
}

// Drop permanently drops the packets of the existing flows in the chosen directions; new flows are unaffected.
func (r *Relay) Drop(up, down bool) {
	r.Delay(up, down, 0)
}

// Delay delays the packets of the existing flows in the chosen directions by a time in milliseconds; 0 drops them.
func (r *Relay) Delay(up, down bool, delay pomelo.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.delay.Store(int64(delay.Duration()))
		f.upImpaired.Store(up)
		f.downImpaired.Store(down)
	}
}

// AfterBytes calls f once n further bytes have been relayed in the chosen direction.
func (r *Relay) AfterBytes(up bool, n int, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.down
	if up {
		t = &r.up
	}
	*t = trigger{remaining: n, run: f}
}

func (r *Relay) countBytes(t *trigger, n int) {
	r.mu.Lock()
	t.remaining -= n
	var f func()
	if t.remaining <= 0 {
		f = t.run
		t.run = nil
	}
	r.mu.Unlock()
	if f != nil {
		f()
	}
}

// forward writes the packet at once, or if the direction is impaired, after the delay or never.
func (f *flow) forward(impaired bool, b []byte, write func([]byte)) {
	if !impaired {
		write(b)
		return
	}
	if d := time.Duration(f.delay.Load()); d > 0 {
		packet := slices.Clone(b)
		time.AfterFunc(d, func() { write(packet) })
	}
}

// Close closes the relay's socket and its flows.
func (r *Relay) Close() {
	_ = r.socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.conn.Close()
	}
}

func (r *Relay) serve() {
	b := make([]byte, 1<<16)
	for {
		n, from, err := r.socket.ReadFrom(b)
		if err != nil {
			return
		}
		f := r.flow(from)
		if f == nil {
			continue
		}
		r.countBytes(&r.up, n)
		f.forward(f.upImpaired.Load(), b[:n], func(b []byte) { _, _ = f.conn.Write(b) })
	}
}

func (r *Relay) flow(from net.Addr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[from.String()]
	if ok {
		return f
	}
	c, err := net.Dial("udp", r.server)
	if err != nil {
		return nil
	}
	f = &flow{conn: c}
	r.flows[from.String()] = f
	go r.forwardReplies(f, from)
	return f
}

func (r *Relay) forwardReplies(f *flow, to net.Addr) {
	b := make([]byte, 1<<16)
	for {
		n, err := f.conn.Read(b)
		if err != nil {
			return
		}
		r.countBytes(&r.down, n)
		f.forward(f.downImpaired.Load(), b[:n], func(b []byte) { _, _ = r.socket.WriteTo(b, to) })
	}
}
