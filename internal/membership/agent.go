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

// Agent runs a Detector over UDP.
type Agent struct {
	mu        sync.Mutex
	detector  *Detector
	conn      *net.UDPConn
	startedAt time.Time
	onChange  func(Fact)
	Malformed atomic.Uint64 // datagrams that could not be decoded
}

// Listen opens the UDP socket and returns the agent of this process. onChange is called for
// each added member and each change of a member's state.
func Listen(addr, name string, seeds []string, onChange func(Fact)) (*Agent, error) {
	udpAddr, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return nil, err
	}
	a := &Agent{conn: conn, startedAt: time.Now(), onChange: onChange}
	a.detector = New(0, addr, name, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return a, nil
}

const datagramMax = 8 << 10 // bytes; ten times the size of a message with the maximum number of facts

// Serve receives datagrams until Close.
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
		var msg Msg
		if gob.NewDecoder(bytes.NewReader(buf[:n])).Decode(&msg) != nil {
			a.Malformed.Add(1)
			continue
		}
		a.step(func() []any { return a.detector.Recv(time.Since(a.startedAt), from.String(), msg) })
	}
}

// Tick advances the detector. It must be called every TickInterval.
func (a *Agent) Tick() {
	a.step(func() []any { return a.detector.Tick(time.Since(a.startedAt)) })
}

// step calls f with the detector locked, and carries out the outputs that it returns.
func (a *Agent) step(f func() []any) {
	a.mu.Lock()
	outputs := f()
	a.mu.Unlock()
	for _, output := range outputs {
		switch output := output.(type) {
		case Send:
			var buf bytes.Buffer
			if gob.NewEncoder(&buf).Encode(output.Msg) != nil {
				continue
			}
			if to, err := net.ResolveUDPAddr("udp4", output.To); err == nil {
				a.conn.WriteToUDP(buf.Bytes(), to) // the protocol tolerates lost datagrams
			}
		case Change:
			a.onChange(output.Fact)
		}
	}
}

// Members returns the facts of all known members, including this process.
func (a *Agent) Members() []Fact {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Members()
}

// TickInterval is the interval at which Tick must be called.
const TickInterval = constants.ProbeTimeout / 3

// Close closes the socket.
func (a *Agent) Close() { a.conn.Close() }
