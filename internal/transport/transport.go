// Package transport carries gob messages between the system's own processes, in bounded
// frames over held TCP connections.
package transport

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

	"slateridge/internal/constants"
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

// Malformed counts input that was no message; such connections are closed.
var Malformed atomic.Uint64

var (
	ErrClosed  = errors.New("connection closed")
	ErrTimeout = errors.New("no answer in time")
	// ErrRefused says that nobody listens there: the process is not running.
	ErrRefused = errors.New("connection refused")
)

// Conn is one connection, either end.
type Conn struct {
	netConn net.Conn
	queueMu sync.Mutex
	queue   []envelope    // waiting to be written; bounded
	queued  chan struct{} // says that there is something
	done    chan struct{}
	once    sync.Once
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan any
	handle  Handler
	closing atomic.Bool // what waits to be written is the last
	Remote  string
}

// Handler takes a message; what it returns is the answer where one is wanted.
type Handler func(conn *Conn, body any) any

func newConn(c net.Conn, h Handler) *Conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	conn := &Conn{netConn: c, queued: make(chan struct{}, 1), done: make(chan struct{}),
		seq: uint64(rand.Uint32()), pending: map[uint64]chan any{}, handle: h, Remote: host}
	conn.queue = []envelope{greeting} // goes with the first message
	go conn.writer()
	go conn.reader()
	return conn
}

// Close ends the connection.
func (conn *Conn) Close() {
	conn.once.Do(func() { close(conn.done); conn.netConn.Close() })
}

// Done is closed when the connection has ended.
func (conn *Conn) Done() <-chan struct{} { return conn.done }

func (conn *Conn) enqueue(e envelope) error {
	select {
	case <-conn.done:
		return ErrClosed
	default:
	}
	conn.queueMu.Lock()
	full := len(conn.queue) >= constants.SendQueue
	if !full {
		conn.queue = append(conn.queue, e)
	}
	conn.queueMu.Unlock()
	if full { // the peer does not read
		conn.Close()
		return ErrClosed
	}
	select {
	case conn.queued <- struct{}{}:
	default: // the writer has been told already
	}
	return nil
}

// takeQueue takes what is to be written. A queue that stands empty holds no memory:
// a control machine has hundreds.
func (conn *Conn) takeQueue() []envelope {
	conn.queueMu.Lock()
	defer conn.queueMu.Unlock()
	es := conn.queue
	conn.queue = nil
	return es
}

// Send passes a message on and does not wait.
func (conn *Conn) Send(body any) error { return conn.enqueue(envelope{Body: body}) }

// Call sends a message and waits for its answer. What ties the two is the connection,
// and on it a number: counted up, and begun at random, so that numbers of other
// connections and of other lives do not meet it either. An answer that comes after its
// time is none, also where this process was not there to see the time end.
func (conn *Conn) Call(body any, timeout time.Duration) (any, error) {
	ch := make(chan any, 1)
	began := time.Now()
	t := time.NewTimer(timeout)
	defer t.Stop()
	conn.mu.Lock()
	conn.seq++
	id := conn.seq
	conn.pending[id] = ch
	conn.mu.Unlock()
	defer func() { conn.mu.Lock(); delete(conn.pending, id); conn.mu.Unlock() }()
	if err := conn.enqueue(envelope{Seq: id, Body: body}); err != nil {
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
	case <-conn.done:
		return nil, ErrClosed
	}
}

func (conn *Conn) writer() {
	defer conn.Close()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	w := bufio.NewWriterSize(conn.netConn, constants.ConnBuffer)
	for {
		select {
		case <-conn.done:
			return
		case <-conn.queued:
		}
		for es := conn.takeQueue(); len(es) > 0; es = conn.takeQueue() {
			for _, e := range es {
				buf.Reset()
				if err := enc.Encode(e); err != nil || buf.Len() > constants.FrameMax {
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
		if w.Flush() != nil || conn.closing.Load() {
			return
		}
		if buf.Cap() > constants.EncodeBufferKept {
			buf = bytes.Buffer{} // one long message must not be paid for for ever
		}
	}
}

// frameReader gives gob the bytes of whole, bounded frameReader only.
type frameReader struct {
	r         *bufio.Reader
	remaining uint32
	atStart   bool // a message may begin: the next frame is its whole
}

func (f *frameReader) Read(b []byte) (int, error) {
	for f.remaining == 0 {
		if !f.atStart {
			return 0, errors.New("frame ends inside a message")
		}
		f.atStart = false
		var n [4]byte
		for i := range n {
			c, err := f.r.ReadByte()
			if err != nil {
				return 0, err
			}
			n[i] = c
		}
		f.remaining = binary.BigEndian.Uint32(n[:])
		Traffic.In.Add(1)
		Traffic.InBytes.Add(uint64(f.remaining) + 4)
		if f.remaining > constants.FrameMax {
			Malformed.Add(1)
			return 0, errors.New("frame too long")
		}
	}
	if uint32(len(b)) > f.remaining {
		b = b[:f.remaining]
	}
	n, err := f.r.Read(b)
	f.remaining -= uint32(n)
	return n, err
}

func (f *frameReader) ReadByte() (byte, error) {
	var b [1]byte
	for {
		n, err := f.Read(b[:])
		if n == 1 || err != nil {
			return b[0], err
		}
	}
}

// decoder reads messages from a connection's bytes.
type decoder struct {
	frames *frameReader
	gob    *gob.Decoder
}

func newDecoder(r io.Reader) *decoder {
	f := &frameReader{r: bufio.NewReaderSize(r, constants.ConnBuffer)}
	return &decoder{f, gob.NewDecoder(f)}
}

// next reads one message, which is one frame's whole.
func (i *decoder) next() (e envelope, err error) {
	i.frames.atStart = true
	if err := i.gob.Decode(&e); err != nil {
		return envelope{}, err
	}
	if i.frames.remaining > 0 {
		return envelope{}, errors.New("frame goes on after its message")
	}
	return e, nil
}

func (conn *Conn) reader() {
	defer conn.Close()
	in := newDecoder(conn.netConn)
	for first := true; ; first = false {
		e, err := in.next()
		if err != nil {
			var ne net.Error
			if !errors.As(err, &ne) && !errors.Is(err, net.ErrClosed) && err.Error() != "EOF" {
				Malformed.Add(1)
			}
			return
		}
		select {
		case <-conn.done:
			return // what was still under way is lost: a later connection's words may have come before it
		default:
		}
		if first && !ours.speaksWith(protocolOf(e)) {
			conn.refuse(protocolOf(e))
			return
		}
		if e.Reply {
			conn.mu.Lock()
			ch := conn.pending[e.Seq]
			delete(conn.pending, e.Seq)
			conn.mu.Unlock()
			if ch != nil {
				ch <- e.Body
			}
			continue
		}
		if conn.handle == nil {
			continue
		}
		if e.Seq == 0 {
			conn.handle(conn, e.Body)
			continue
		}
		go func() {
			if v := conn.handle(conn, e.Body); v != nil {
				conn.enqueue(envelope{Seq: e.Seq, Reply: true, Body: v})
			}
		}()
	}
}

// setUserTimeout sets what lets a held connection notice a silent peer.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	const tcpUserTimeout = 18
	rc.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(constants.LinkSilence/time.Millisecond))
	})
	return nil
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: constants.LinkSilence, Interval: time.Second, Count: 2}

// Dial opens a connection from this machine's own address, by which the peer
// knows it; h takes what the peer sends unasked.
func Dial(addr, from string, h Handler) (*Conn, error) {
	d := net.Dialer{Timeout: constants.DialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAlive, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, h), nil
}

// Serve takes connections until the listener is closed, and ends those it took
// with it.
func Serve(l net.Listener, h Handler) error {
	var mu sync.Mutex
	open := map[*Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for conn := range open {
			conn.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(constants.RedialPause)
			continue
		}
		conn := newConn(c, h)
		mu.Lock()
		open[conn] = true
		mu.Unlock()
		go func() {
			<-conn.Done()
			mu.Lock()
			delete(open, conn)
			mu.Unlock()
		}()
	}
}

// Listen opens the listening socket.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return lc.Listen(context.Background(), "tcp4", addr)
}

// Peer is a held connection to one peer, opened again when it ends.
type Peer struct {
	addr      string
	from      string
	handler   Handler
	mu        sync.Mutex
	conn      *Conn
	dialAfter time.Time
	dialing   bool
	refused   bool // the last attempt was refused
	waiting   []any
}

// NewPeer makes a held connection; it opens with the first use.
func NewPeer(addr, from string, h Handler) *Peer { return &Peer{addr: addr, from: from, handler: h} }

// Conn is the open connection, or nil while there is none; asking for it
// starts the next attempt in the background.
func (peer *Peer) Conn() *Conn {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn != nil {
		select {
		case <-peer.conn.done:
			peer.conn = nil
		default:
			return peer.conn
		}
	}
	if !peer.dialing && time.Now().After(peer.dialAfter) {
		peer.dialing = true
		go func() {
			conn, err := Dial(peer.addr, peer.from, peer.handler)
			peer.mu.Lock()
			defer peer.mu.Unlock()
			peer.dialing, peer.dialAfter = false, time.Now().Add(constants.RedialPause)
			peer.refused = errors.Is(err, syscall.ECONNREFUSED)
			if err == nil {
				peer.conn = conn
				for _, b := range peer.waiting {
					conn.Send(b)
				}
			}
			peer.waiting = nil
		}()
	}
	return nil
}

// Send passes a message on; while the connection is being opened a few wait
// with it, and if it cannot be opened they are lost, as any message may be.
func (peer *Peer) Send(body any) {
	if conn := peer.Conn(); conn != nil {
		conn.Send(body)
		return
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn != nil {
		peer.conn.Send(body)
	} else if peer.dialing && len(peer.waiting) < 16 {
		peer.waiting = append(peer.waiting, body)
	}
}

// Call sends and waits; it fails at once while there is no connection.
func (peer *Peer) Call(body any, timeout time.Duration) (any, error) {
	conn := peer.Conn()
	if conn == nil {
		peer.mu.Lock()
		defer peer.mu.Unlock()
		if peer.refused {
			return nil, ErrRefused
		}
		return nil, ErrClosed
	}
	return conn.Call(body, timeout)
}

// Disconnect ends the open connection, if any.
func (peer *Peer) Disconnect() {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn != nil {
		peer.conn.Close()
		peer.conn = nil
	}
}
