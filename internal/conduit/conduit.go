// Package conduit is the pipework between own processes; in the field's terms:
// gob messages in bounded frames over held TCP connections.
package conduit

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"slateridge/internal/datum"
)

// envelope carries one message. Seq 0 is a message that wants no answer. The first on a
// connection is each end's greeting: a reply to nothing, which builds without greetings
// pass over; Protocol and Oldest are the newest and the oldest it speaks.
type envelope struct {
	Seq      uint64
	Reply    bool
	Body     any
	Protocol uint64
	Oldest   uint64
}

// Traffic counts the bytes and messages of all own connections of this process.
var Traffic struct{ InBytes, OutBytes, In, Out atomic.Uint64 }

// Garbled counts input that was no message; such connections are closed.
var Garbled atomic.Uint64

var (
	ErrClosed  = errors.New("connection closed")
	ErrTimeout = errors.New("no answer in time")
	// ErrRefused says that nobody listens there: the process is not running.
	ErrRefused = errors.New("connection refused")
)

// Pipe is one connection, either end.
type Pipe struct {
	c      net.Conn
	outMu  sync.Mutex
	out    []envelope    // waiting to be written; bounded
	some   chan struct{} // says that there is something
	done   chan struct{}
	once   sync.Once
	mu     sync.Mutex
	seq    uint64
	wait   map[uint64]chan any
	handle Handler
	last   atomic.Bool // what waits to be written is the last
	Remote string
}

// Handler takes a message; what it returns is the answer where one is wanted.
type Handler func(p *Pipe, body any) any

func newPipe(c net.Conn, h Handler) *Pipe {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	p := &Pipe{c: c, some: make(chan struct{}, 1), done: make(chan struct{}),
		seq: uint64(rand.Uint32()), wait: map[uint64]chan any{}, handle: h, Remote: host}
	p.out = []envelope{greeting} // goes with the first message
	go p.writer()
	go p.reader()
	return p
}

// Close ends the connection.
func (p *Pipe) Close() {
	p.once.Do(func() { close(p.done); p.c.Close() })
}

// Done is closed when the connection has ended.
func (p *Pipe) Done() <-chan struct{} { return p.done }

func (p *Pipe) put(e envelope) error {
	select {
	case <-p.done:
		return ErrClosed
	default:
	}
	p.outMu.Lock()
	full := len(p.out) >= datum.SendQueue
	if !full {
		p.out = append(p.out, e)
	}
	p.outMu.Unlock()
	if full { // the peer does not read
		p.Close()
		return ErrClosed
	}
	select {
	case p.some <- struct{}{}:
	default: // the writer has been told already
	}
	return nil
}

// waiting takes what is to be written. A queue that stands empty holds no memory:
// a control machine has hundreds.
func (p *Pipe) waiting() []envelope {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	es := p.out
	p.out = nil
	return es
}

// Send passes a message on and does not wait.
func (p *Pipe) Send(body any) error { return p.put(envelope{Body: body}) }

// Call sends a message and waits for its answer. What ties the two is the connection,
// and on it a number: counted up, and begun at random, so that numbers of other
// connections and of other lives do not meet it either. An answer that comes after its
// time is none, also where this process was not there to see the time end.
func (p *Pipe) Call(body any, timeout time.Duration) (any, error) {
	ch := make(chan any, 1)
	began := time.Now()
	t := time.NewTimer(timeout)
	defer t.Stop()
	p.mu.Lock()
	p.seq++
	id := p.seq
	p.wait[id] = ch
	p.mu.Unlock()
	defer func() { p.mu.Lock(); delete(p.wait, id); p.mu.Unlock() }()
	if err := p.put(envelope{Seq: id, Body: body}); err != nil {
		return nil, err
	}
	select {
	case v := <-ch:
		if time.Since(began) > timeout {
			return nil, ErrTimeout
		}
		return v, nil
	case <-t.C:
		return nil, ErrTimeout
	case <-p.done:
		return nil, ErrClosed
	}
}

func (p *Pipe) writer() {
	defer p.Close()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	w := bufio.NewWriterSize(p.c, datum.PipeBuffer)
	for {
		select {
		case <-p.done:
			return
		case <-p.some:
		}
		for es := p.waiting(); len(es) > 0; es = p.waiting() {
			for _, e := range es {
				buf.Reset()
				if err := enc.Encode(e); err != nil || buf.Len() > datum.FrameMax {
					return
				}
				var n [4]byte
				binary.BigEndian.PutUint32(n[:], uint32(buf.Len()))
				w.Write(n[:])
				w.Write(buf.Bytes())
				Traffic.Out.Add(1)
				Traffic.OutBytes.Add(uint64(buf.Len()) + 4)
			}
		}
		if w.Flush() != nil || p.last.Load() {
			return
		}
		if buf.Cap() > datum.PipeKeep {
			buf = bytes.Buffer{} // one long message must not be paid for for ever
		}
	}
}

// frames gives gob the bytes of whole, bounded frames only.
type frames struct {
	r     *bufio.Reader
	left  uint32
	begin bool // a message may begin: the next frame is its whole
}

func (f *frames) Read(b []byte) (int, error) {
	for f.left == 0 {
		if !f.begin {
			return 0, errors.New("frame ends inside a message")
		}
		f.begin = false
		var n [4]byte
		for i := range n {
			c, err := f.r.ReadByte()
			if err != nil {
				return 0, err
			}
			n[i] = c
		}
		f.left = binary.BigEndian.Uint32(n[:])
		Traffic.In.Add(1)
		Traffic.InBytes.Add(uint64(f.left) + 4)
		if f.left > datum.FrameMax {
			Garbled.Add(1)
			return 0, errors.New("frame too long")
		}
	}
	if uint32(len(b)) > f.left {
		b = b[:f.left]
	}
	n, err := f.r.Read(b)
	f.left -= uint32(n)
	return n, err
}

func (f *frames) ReadByte() (byte, error) {
	var b [1]byte
	for {
		n, err := f.Read(b[:])
		if n == 1 || err != nil {
			return b[0], err
		}
	}
}

// inflow reads messages from a connection's bytes.
type inflow struct {
	f   *frames
	dec *gob.Decoder
}

func newInflow(r io.Reader) *inflow {
	f := &frames{r: bufio.NewReaderSize(r, datum.PipeBuffer)}
	return &inflow{f, gob.NewDecoder(f)}
}

// next reads one message, which is one frame's whole.
func (i *inflow) next() (e envelope, err error) {
	i.f.begin = true
	if err := i.dec.Decode(&e); err != nil {
		return envelope{}, err
	}
	if i.f.left > 0 {
		return envelope{}, errors.New("frame goes on after its message")
	}
	return e, nil
}

func (p *Pipe) reader() {
	defer p.Close()
	in := newInflow(p.c)
	for first := true; ; first = false {
		e, err := in.next()
		if err != nil {
			var ne net.Error
			if !errors.As(err, &ne) && !errors.Is(err, net.ErrClosed) && err.Error() != "EOF" {
				Garbled.Add(1)
			}
			return
		}
		select {
		case <-p.done:
			return // what was still under way is lost: a later connection's words may have come before it
		default:
		}
		if first && !ours.speaksWith(protocolOf(e)) {
			p.refuse(protocolOf(e))
			return
		}
		if e.Reply {
			p.mu.Lock()
			ch := p.wait[e.Seq]
			delete(p.wait, e.Seq)
			p.mu.Unlock()
			if ch != nil {
				ch <- e.Body
			}
			continue
		}
		if p.handle == nil {
			continue
		}
		if e.Seq == 0 {
			p.handle(p, e.Body)
			continue
		}
		go func() {
			if v := p.handle(p, e.Body); v != nil {
				p.put(envelope{Seq: e.Seq, Reply: true, Body: v})
			}
		}()
	}
}

// control sets what lets a held connection notice a silent peer.
func control(_, _ string, rc syscall.RawConn) error {
	const tcpUserTimeout = 18
	rc.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(datum.LinkSilence/time.Millisecond))
	})
	return nil
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: datum.LinkSilence, Interval: time.Second, Count: 2}

// Dial opens a connection from this machine's own address, by which the peer
// knows it; h takes what the peer sends unasked.
func Dial(addr, from string, h Handler) (*Pipe, error) {
	d := net.Dialer{Timeout: datum.DialTimeout, Control: control, KeepAliveConfig: keepAlive, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newPipe(c, h), nil
}

// Serve takes connections until the listener is closed, and ends those it took
// with it.
func Serve(l net.Listener, h Handler) error {
	var mu sync.Mutex
	open := map[*Pipe]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for p := range open {
			p.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(datum.RedialPause)
			continue
		}
		p := newPipe(c, h)
		mu.Lock()
		open[p] = true
		mu.Unlock()
		go func() {
			<-p.Done()
			mu.Lock()
			delete(open, p)
			mu.Unlock()
		}()
	}
}

// Listen opens the listening socket.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
	return lc.Listen(context.Background(), "tcp4", addr)
}

// Main is a held connection to one peer, opened again when it ends.
type Main struct {
	addr string
	from string
	h    Handler
	mu   sync.Mutex
	p    *Pipe
	next time.Time
	busy bool
	gone bool // the last attempt was refused
	held []any
}

// NewMain makes a held connection; it opens with the first use.
func NewMain(addr, from string, h Handler) *Main { return &Main{addr: addr, from: from, h: h} }

// Pipe is the open connection, or nil while there is none; asking for it
// starts the next attempt in the background.
func (m *Main) Pipe() *Pipe {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.p != nil {
		select {
		case <-m.p.done:
			m.p = nil
		default:
			return m.p
		}
	}
	if !m.busy && time.Now().After(m.next) {
		m.busy = true
		go func() {
			p, err := Dial(m.addr, m.from, m.h)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.busy, m.next = false, time.Now().Add(datum.RedialPause)
			m.gone = errors.Is(err, syscall.ECONNREFUSED)
			if err == nil {
				m.p = p
				for _, b := range m.held {
					p.Send(b)
				}
			}
			m.held = nil
		}()
	}
	return nil
}

// Send passes a message on; while the connection is being opened a few wait
// with it, and if it cannot be opened they are lost, as any message may be.
func (m *Main) Send(body any) {
	if p := m.Pipe(); p != nil {
		p.Send(body)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.p != nil {
		m.p.Send(body)
	} else if m.busy && len(m.held) < 16 {
		m.held = append(m.held, body)
	}
}

// Call sends and waits; it fails at once while there is no connection.
func (m *Main) Call(body any, timeout time.Duration) (any, error) {
	p := m.Pipe()
	if p == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.gone {
			return nil, ErrRefused
		}
		return nil, ErrClosed
	}
	return p.Call(body, timeout)
}

// Drop ends the open connection, if any.
func (m *Main) Drop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.p != nil {
		m.p.Close()
		m.p = nil
	}
}
