// Package transport exchanges gob messages between the processes of the system, in
// length-prefixed frames of bounded size over persistent TCP connections.
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

// envelope carries one message. Seq 0 marks a message that expects no reply. The first
// envelope that each end sends is its greeting: a reply to no request, which builds before
// the greeting ignore. Its Protocol and Oldest are the newest and the oldest protocol
// version that the sender supports.
type envelope struct {
	Seq      uint64
	Reply    bool
	Body     any
	Protocol uint64
	Oldest   uint64
}

// Traffic counts the bytes and messages on all connections of this process.
var Traffic struct{ InBytes, OutBytes, In, Out atomic.Uint64 }

// Malformed counts invalid input. A connection on which it arrives is closed.
var Malformed atomic.Uint64

var (
	// ErrClosed is returned if the connection was closed by either end.
	ErrClosed = errors.New("connection closed")
	// ErrTimeout is returned if no reply arrived within the timeout.
	ErrTimeout = errors.New("request timed out")
	// ErrRefused is returned if no process listens on the peer's address.
	ErrRefused = errors.New("connection refused")
)

// Conn is either end of a connection.
type Conn struct {
	netConn         net.Conn
	queueMu         sync.Mutex
	queue           []envelope    // waiting to be written; bounded
	wakeWriter      chan struct{} // signals that queue is not empty
	done            chan struct{}
	closeOnce       sync.Once
	mu              sync.Mutex
	seq             uint64
	pending         map[uint64]chan any
	handler         Handler
	closeAfterFlush atomic.Bool // close once the queue has been written
	Remote          string      // IP address of the other end
}

// Handler handles a message. Its result is sent as the reply if the sender expects one.
type Handler func(conn *Conn, body any) any

func newConn(c net.Conn, h Handler) *Conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	conn := &Conn{netConn: c, wakeWriter: make(chan struct{}, 1), done: make(chan struct{}),
		seq: uint64(rand.Uint32()), pending: map[uint64]chan any{}, handler: h, Remote: host}
	conn.queue = []envelope{greeting} // written together with the first message
	go conn.writer()
	go conn.reader()
	return conn
}

// Close closes the connection. It may be called more than once.
func (conn *Conn) Close() {
	conn.closeOnce.Do(func() { close(conn.done); conn.netConn.Close() })
}

// Done returns a channel that is closed when the connection is closed.
func (conn *Conn) Done() <-chan struct{} { return conn.done }

func (conn *Conn) enqueue(e envelope) error {
	select {
	case <-conn.done:
		return ErrClosed
	default:
	}
	conn.queueMu.Lock()
	full := len(conn.queue) >= constants.SendQueueLength
	if !full {
		conn.queue = append(conn.queue, e)
	}
	conn.queueMu.Unlock()
	if full { // the peer is not reading
		conn.Close()
		return ErrClosed
	}
	select {
	case conn.wakeWriter <- struct{}{}:
	default: // the writer has already been woken
	}
	return nil
}

// drainQueue returns the queued envelopes and releases the memory of the queue, as a
// control-plane machine has hundreds of connections.
func (conn *Conn) drainQueue() []envelope {
	conn.queueMu.Lock()
	defer conn.queueMu.Unlock()
	batch := conn.queue
	conn.queue = nil
	return batch
}

// Send queues a message that expects no reply.
func (conn *Conn) Send(body any) error { return conn.enqueue(envelope{Body: body}) }

// Call sends a message and waits for its reply. A reply is matched to its request by a
// sequence number within the connection. The numbers start at a random value, so that they
// also differ from those of other connections and other incarnations of the process. A
// reply that arrives after the timeout is discarded, even if this process was suspended
// when the timeout expired.
func (conn *Conn) Call(body any, timeout time.Duration) (any, error) {
	ch := make(chan any, 1)
	start := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
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
		if time.Since(start) > timeout {
			return nil, ErrTimeout
		}
		return v, nil
	case <-timer.C:
		return nil, ErrTimeout
	case <-conn.done:
		return nil, ErrClosed
	}
}

func (conn *Conn) writer() {
	defer conn.Close()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	w := bufio.NewWriterSize(conn.netConn, constants.ConnBufferBytes)
	for {
		select {
		case <-conn.done:
			return
		case <-conn.wakeWriter:
		}
		for batch := conn.drainQueue(); len(batch) > 0; batch = conn.drainQueue() {
			for _, e := range batch {
				buf.Reset()
				if err := enc.Encode(e); err != nil || buf.Len() > constants.MaxFrameBytes {
					return
				}
				var size [4]byte
				binary.BigEndian.PutUint32(size[:], uint32(buf.Len()))
				w.Write(size[:])
				w.Write(buf.Bytes())
				Traffic.Out.Add(1)
				Traffic.OutBytes.Add(uint64(buf.Len()) + 4)
			}
		}
		if w.Flush() != nil || conn.closeAfterFlush.Load() {
			return
		}
		if buf.Cap() > constants.MaxKeptEncodeBufferBytes {
			buf = bytes.Buffer{} // do not keep the memory of one large message for the life of the connection
		}
	}
}

// frameReader strips the framing from a byte stream. It rejects frames that are too long
// and messages that span more than one frame.
type frameReader struct {
	r         *bufio.Reader
	remaining uint32 // unread bytes of the current frame
	atStart   bool   // the decoder is about to read a new message, so a new frame may start
}

func (f *frameReader) Read(b []byte) (int, error) {
	for f.remaining == 0 {
		if !f.atStart {
			return 0, errors.New("message exceeds its frame")
		}
		f.atStart = false
		var size [4]byte
		for i := range size {
			c, err := f.r.ReadByte()
			if err != nil {
				return 0, err
			}
			size[i] = c
		}
		f.remaining = binary.BigEndian.Uint32(size[:])
		Traffic.In.Add(1)
		Traffic.InBytes.Add(uint64(f.remaining) + 4)
		if f.remaining > constants.MaxFrameBytes {
			Malformed.Add(1)
			return 0, errors.New("frame exceeds the maximum size")
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

// decoder decodes the messages of a connection.
type decoder struct {
	frames *frameReader
	gob    *gob.Decoder
}

func newDecoder(r io.Reader) *decoder {
	f := &frameReader{r: bufio.NewReaderSize(r, constants.ConnBufferBytes)}
	return &decoder{f, gob.NewDecoder(f)}
}

// next decodes one message, which must fill its frame exactly.
func (d *decoder) next() (e envelope, err error) {
	d.frames.atStart = true
	if err := d.gob.Decode(&e); err != nil {
		return envelope{}, err
	}
	if d.frames.remaining > 0 {
		return envelope{}, errors.New("trailing data after the message in a frame")
	}
	return e, nil
}

func (conn *Conn) reader() {
	defer conn.Close()
	dec := newDecoder(conn.netConn)
	for first := true; ; first = false {
		e, err := dec.next()
		if err != nil {
			var ne net.Error
			if !errors.As(err, &ne) && !errors.Is(err, net.ErrClosed) && err.Error() != "EOF" {
				Malformed.Add(1)
			}
			return
		}
		select {
		case <-conn.done:
			return // drop the rest: messages of a later connection may already have been handled
		default:
		}
		if first && !localProtocol.compatibleWith(protocolOf(e)) {
			conn.rejectPeer(protocolOf(e))
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
		if conn.handler == nil {
			continue
		}
		if e.Seq == 0 {
			conn.handler(conn, e.Body)
			continue
		}
		go func() {
			if v := conn.handler(conn, e.Body); v != nil {
				conn.enqueue(envelope{Seq: e.Seq, Reply: true, Body: v})
			}
		}()
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that writes on a connection fail if the peer has
// stopped acknowledging data.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	const tcpUserTimeout = 18
	rc.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(constants.TCPUserTimeout/time.Millisecond))
	})
	return nil
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: constants.TCPUserTimeout, Interval: time.Second, Count: 2}

// Dial opens a connection from the local IP address localAddr, by which the peer identifies
// this machine. h handles the messages of the peer that are not replies.
func Dial(addr, localAddr string, h Handler) (*Conn, error) {
	d := net.Dialer{Timeout: constants.DialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAlive, LocalAddr: &net.TCPAddr{IP: net.ParseIP(localAddr)}}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, h), nil
}

// Serve accepts connections until the listener is closed, and then closes those it has
// accepted.
func Serve(l net.Listener, h Handler) error {
	var mu sync.Mutex
	conns := map[*Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for conn := range conns {
			conn.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(constants.RedialDelay)
			continue
		}
		conn := newConn(c, h)
		mu.Lock()
		conns[conn] = true
		mu.Unlock()
		go func() {
			<-conn.Done()
			mu.Lock()
			delete(conns, conn)
			mu.Unlock()
		}()
	}
}

// Listen opens a listening socket.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return lc.Listen(context.Background(), "tcp4", addr)
}

// Peer is a persistent connection to one peer. It is reopened on use after it has closed.
type Peer struct {
	addr        string
	localAddr   string
	handler     Handler
	mu          sync.Mutex
	conn        *Conn
	nextDial    time.Time // no attempt before this time
	dialing     bool
	dialRefused bool  // the last attempt was refused
	unsent      []any // messages to send once the current attempt succeeds
}

// NewPeer returns a Peer that connects on first use.
func NewPeer(addr, localAddr string, h Handler) *Peer {
	return &Peer{addr: addr, localAddr: localAddr, handler: h}
}

// Conn returns the open connection. If there is none, it returns nil and starts an attempt
// to connect in the background.
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
	if !peer.dialing && time.Now().After(peer.nextDial) {
		peer.dialing = true
		go func() {
			conn, err := Dial(peer.addr, peer.localAddr, peer.handler)
			peer.mu.Lock()
			defer peer.mu.Unlock()
			peer.dialing, peer.nextDial = false, time.Now().Add(constants.RedialDelay)
			peer.dialRefused = errors.Is(err, syscall.ECONNREFUSED)
			if err == nil {
				peer.conn = conn
				for _, body := range peer.unsent {
					conn.Send(body)
				}
			}
			peer.unsent = nil
		}()
	}
	return nil
}

// Send queues a message that expects no reply. While the connection is being opened, a few
// messages are kept until it is open; if the attempt fails they are lost, as any message
// may be.
func (peer *Peer) Send(body any) {
	if conn := peer.Conn(); conn != nil {
		conn.Send(body)
		return
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn != nil {
		peer.conn.Send(body)
	} else if peer.dialing && len(peer.unsent) < 16 {
		peer.unsent = append(peer.unsent, body)
	}
}

// Call sends a message and waits for its reply. It fails immediately if there is no
// connection.
func (peer *Peer) Call(body any, timeout time.Duration) (any, error) {
	conn := peer.Conn()
	if conn == nil {
		peer.mu.Lock()
		defer peer.mu.Unlock()
		if peer.dialRefused {
			return nil, ErrRefused
		}
		return nil, ErrClosed
	}
	return conn.Call(body, timeout)
}

// Disconnect closes the open connection, if any.
func (peer *Peer) Disconnect() {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn != nil {
		peer.conn.Close()
		peer.conn = nil
	}
}
