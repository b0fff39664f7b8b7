package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// rawConn is a remote end that writes frames itself, so that it can send what a Conn never
// sends.
type rawConn struct {
	netConn net.Conn
	dec     *decoder
	mu      sync.Mutex
	buf     bytes.Buffer
	enc     *gob.Encoder
}

func newRawConn(c net.Conn) *rawConn {
	raw := &rawConn{netConn: c, dec: newDecoder(bufio.NewReader(c))}
	raw.enc = gob.NewEncoder(&raw.buf)
	return raw
}

// frame returns the encoded frame of a message.
func (raw *rawConn) frame(m envelope) []byte {
	raw.buf.Reset()
	if err := raw.enc.Encode(m); err != nil {
		panic(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(raw.buf.Len())), raw.buf.Bytes()...)
}

func (raw *rawConn) send(m envelope) {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	raw.netConn.Write(raw.frame(m))
}

// sendPartial sends a random prefix of a frame and closes the connection.
func (raw *rawConn) sendPartial(m envelope, rng *rand.Rand) {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	b := raw.frame(m)
	raw.netConn.Write(b[:rng.IntN(len(b))])
	raw.netConn.Close()
}

// TestRepliesMatchRequests is a seeded model test. Concurrent callers send requests over a
// Peer whose connection breaks and is reopened, while the server at its address is replaced
// by new incarnations. The server sends replies late, twice, out of order, unrequested, over
// another connection, or partially. Each reply contains its request and the incarnation that
// sent it. A request may fail, but it must never receive the reply to another request, the
// reply of an incarnation other than the one that handled it, or a reply after its timeout,
// and it must be handled at most once.
func TestRepliesMatchRequests(t *testing.T) {
	const seeds, callers, calls, timeout = 6, 8, 30, 40 * time.Millisecond
	var mu sync.Mutex
	answered, faults := 0, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				handledBy := map[string]string{} // request -> incarnation that handled it
				var conns []*rawConn             // of all incarnations, including those that have ended
				type request struct {
					seq  uint64
					text string
				}
				var requests []request // received so far, on all connections
				serve := func(l net.Listener, incarnation string, rng *rand.Rand) {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						raw := newRawConn(c)
						mu.Lock()
						conns = append(conns, raw)
						earlier := requests[max(0, len(requests)-20):]
						mu.Unlock()
						go func() {
							defer c.Close()
							for _, r := range earlier { // of other connections, and often of other incarnations
								raw.send(envelope{Seq: r.seq, Reply: true, Body: testMessage{incarnation + "|" + r.text}})
							}
							for n := 0; ; n++ {
								m, err := raw.dec.next()
								if err != nil {
									return
								}
								if m.Protocol > 0 {
									continue // a greeting
								}
								text := m.Body.(testMessage).S
								reply := envelope{Seq: m.Seq, Reply: true, Body: testMessage{incarnation + "|" + text}}
								mu.Lock()
								if previous, ok := handledBy[text]; ok {
									t.Errorf("%s was handled by %s and by %s", text, previous, incarnation)
								}
								handledBy[text] = incarnation
								requests = append(requests, request{m.Seq, text})
								otherConn := conns[rng.IntN(len(conns))]
								fault := []string{"", "", "", "", "duplicate", "delayed", "after timeout", "unrequested", "other connection", "partial", "closed before reply", "closed after reply", "no reply", "invalid input"}[max(0, rng.IntN(24)-10)]
								delay := time.Duration(rng.IntN(10)) * time.Millisecond
								partialRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
								faults[fault]++
								mu.Unlock()
								switch fault {
								case "":
									raw.send(reply)
								case "duplicate":
									raw.send(reply)
									raw.send(reply)
								case "delayed":
									time.AfterFunc(delay, func() { raw.send(reply) })
								case "after timeout":
									time.AfterFunc(timeout+delay, func() { raw.send(reply) })
								case "unrequested":
									raw.send(envelope{Seq: m.Seq + 1<<40, Reply: true, Body: testMessage{"unrequested"}})
									raw.send(envelope{Seq: 0, Reply: true, Body: testMessage{"unrequested"}})
									raw.send(envelope{Seq: m.Seq, Reply: true, Body: reply.Body})
								case "other connection":
									otherConn.send(reply)
								case "partial":
									raw.sendPartial(reply, partialRNG)
									return
								case "closed before reply":
									return
								case "closed after reply":
									raw.send(reply)
									return
								case "invalid input":
									raw.mu.Lock()
									io.WriteString(c, "\x00\x00\x00\x05hello")
									raw.mu.Unlock()
								}
							}
						}()
					}
				}
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				addr := l.Addr().String()
				go serve(l, "incarnation 1", rand.New(rand.NewPCG(seed, 1)))
				stop := make(chan bool)
				var incarnations sync.WaitGroup
				incarnations.Go(func() {
					for n := uint64(2); ; n++ {
						select {
						case <-stop:
							l.Close()
							return
						case <-time.After(80 * time.Millisecond):
						}
						l.Close() // the incarnation ends with its connections; the next one takes its address
						mu.Lock()
						for _, raw := range conns {
							raw.netConn.Close()
						}
						mu.Unlock()
						for {
							if l, err = net.Listen("tcp4", addr); err == nil {
								break
							}
							time.Sleep(time.Millisecond)
						}
						go serve(l, fmt.Sprint("incarnation ", n), rand.New(rand.NewPCG(seed, n)))
					}
				})
				peer := NewPeer(addr, "127.0.0.1", nil)
				var wg sync.WaitGroup
				for c := range callers {
					wg.Go(func() {
						for n := range calls {
							text := fmt.Sprintf("%d-%d", c, n)
							conn := peer.Conn()
							for ; conn == nil; conn = peer.Conn() {
								time.Sleep(2 * time.Millisecond)
							}
							start := time.Now()
							v, err := conn.Call(testMessage{text}, timeout)
							took := time.Since(start)
							if err != nil {
								continue
							}
							incarnation, to, _ := strings.Cut(v.(testMessage).S, "|")
							mu.Lock()
							answered++
							if to != text || handledBy[text] != incarnation {
								t.Errorf("seed %d: request %s, handled by %q, received reply %q", seed, text, handledBy[text], v)
							}
							mu.Unlock()
							if took > timeout+time.Second {
								t.Errorf("seed %d: request %s was answered after %v", seed, text, took)
							}
						}
					})
				}
				wg.Wait()
				close(stop)
				incarnations.Wait()
				peer.Disconnect()
			})
		}
	})
	mu.Lock() // connections of the last incarnation may still be closing
	defer mu.Unlock()
	if answered < seeds*callers*calls/5 {
		t.Errorf("only %d of %d requests were answered, too few for a meaningful test", answered, seeds*callers*calls)
	}
	t.Logf("%d of %d requests were answered; faults: %v", answered, seeds*callers*calls, faults)
}

// pair returns a Conn and the raw remote end that it is connected to.
func pair(t *testing.T, h Handler) (*Conn, *rawConn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := Dial(l.Addr().String(), "127.0.0.1", h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return conn, newRawConn(c)
}

// A connection that has been closed delivers no more messages, even those it has already
// received: messages of a later connection may have been delivered before.
func TestNoMessageIsDeliveredAfterClose(t *testing.T) {
	var got []string
	first, resume, last := make(chan bool), make(chan bool), make(chan bool)
	conn, raw := pair(t, func(_ *Conn, body any) any {
		got = append(got, body.(testMessage).S)
		if len(got) == 1 {
			close(first)
			<-resume
		}
		if body.(testMessage).S == "last" {
			close(last)
		}
		return nil
	})
	raw.mu.Lock()
	raw.netConn.Write(append(append(raw.frame(envelope{Body: testMessage{"first"}}), raw.frame(envelope{Body: testMessage{"next"}})...), raw.frame(envelope{Body: testMessage{"last"}})...))
	raw.mu.Unlock()
	<-first
	conn.Close()
	close(resume)
	select {
	case <-last:
		t.Errorf("delivered after close: %v", got[1:])
	case <-time.After(200 * time.Millisecond):
	}
}

// A frame with trailing data after its message is rejected, and the connection is closed.
func TestFrameContainsOneMessage(t *testing.T) {
	handled := make(chan string, 9)
	conn, raw := pair(t, func(_ *Conn, body any) any { handled <- body.(testMessage).S; return nil })
	one := raw.frame(envelope{Body: testMessage{"one"}})
	two := raw.frame(envelope{Body: testMessage{"two"}})
	both := append(binary.BigEndian.AppendUint32(nil, uint32(len(one)+len(two)-8)), one[4:]...)
	raw.netConn.Write(append(both, two[4:]...))
	select {
	case <-conn.Done():
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open")
	}
	if len(handled) > 0 {
		t.Errorf("%q was delivered from a frame with trailing data", <-handled)
	}
}

// A reply that is read after the timeout is discarded, even if it arrived in time while the
// process was suspended and the timer has not fired.
func TestLateReplyIsDiscarded(t *testing.T) {
	for range 10 {
		testLateReply(t)
	}
}

func testLateReply(t *testing.T) {
	conn, raw := pair(t, nil)
	conn.queueMu.Lock() // suspends the caller between registering its request and waiting for the reply
	conn.mu.Lock()
	seq := conn.seq + 1
	conn.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Call(testMessage{"q"}, 20*time.Millisecond)
		done <- err
	}()
	isPending := func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.pending[seq] != nil
	}
	for !isPending() {
		time.Sleep(time.Millisecond)
	}
	raw.send(envelope{Seq: seq, Reply: true, Body: testMessage{"old"}})
	for isPending() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	conn.queueMu.Unlock()
	if err := <-done; err != ErrTimeout {
		t.Errorf("Call with a late reply returned %v", err)
	}
}
