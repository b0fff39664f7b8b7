package membership

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"slateridge/internal/constants"
)

// Agent carries a process's part over datagrams.
type Agent struct {
	mu        sync.Mutex
	detector  *Detector
	conn      *net.UDPConn
	startedAt time.Time
	onChange  func(Fact)
	Malformed atomic.Uint64
}

// Listen opens the datagram socket and makes this process a member; changed is
// told of every member's change of state.
func Listen(addr, name string, seeds []string, changed func(Fact)) (*Agent, error) {
	ua, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp4", ua)
	if err != nil {
		return nil, err
	}
	a := &Agent{conn: c, startedAt: time.Now(), onChange: changed}
	a.detector = New(0, addr, name, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return a, nil
}

const datagramMax = 8 << 10 // bytes; a message with all its facts is a tenth of it

// Serve takes datagrams until Close.
func (a *Agent) Serve() error {
	buf := make([]byte, datagramMax)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if _, closed := err.(*net.OpError); closed && !err.(*net.OpError).Timeout() {
				return nil
			}
			continue
		}
		var m Msg
		if gob.NewDecoder(bytes.NewReader(buf[:n])).Decode(&m) != nil {
			a.Malformed.Add(1)
			continue
		}
		a.step(func() []any { return a.detector.Recv(time.Since(a.startedAt), from.String(), m) })
	}
}

// Tick drives the machine.
func (a *Agent) Tick() {
	a.step(func() []any { return a.detector.Tick(time.Since(a.startedAt)) })
}

func (a *Agent) step(f func() []any) {
	a.mu.Lock()
	out := f()
	a.mu.Unlock()
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			var b bytes.Buffer
			if gob.NewEncoder(&b).Encode(o.Msg) != nil {
				continue
			}
			if to, err := net.ResolveUDPAddr("udp4", o.To); err == nil {
				a.conn.WriteToUDP(b.Bytes(), to) // lost datagrams are part of the bargain
			}
		case Change:
			a.onChange(o.Fact)
		}
	}
}

// Members lists everybody known.
func (a *Agent) Members() []Fact {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Members()
}

// TickInterval is how often Tick is to be called.
const TickInterval = constants.ProbeTimeout / 3

// Close ends the socket.
func (a *Agent) Close() { a.conn.Close() }
