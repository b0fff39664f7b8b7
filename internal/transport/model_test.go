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

// rawEnd speaks frames by itself, so that it can do with them what no pipe does.
type rawEnd struct {
	c   net.Conn
	in  *decoder
	mu  sync.Mutex
	buf bytes.Buffer
	enc *gob.Encoder
}

func newRawEnd(c net.Conn) *rawEnd {
	e := &rawEnd{c: c, in: newDecoder(bufio.NewReader(c))}
	e.enc = gob.NewEncoder(&e.buf)
	return e
}

// frame is the bytes of one message.
func (e *rawEnd) frame(m envelope) []byte {
	e.buf.Reset()
	if err := e.enc.Encode(m); err != nil {
		panic(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(e.buf.Len())), e.buf.Bytes()...)
}

func (e *rawEnd) say(m envelope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.Write(e.frame(m))
}

// sayHalf breaks off inside a message.
func (e *rawEnd) sayHalf(m envelope, rng *rand.Rand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.frame(m)
	e.c.Write(b[:rng.IntN(len(b))])
	e.c.Close()
}

// TestAnswersFindTheirWaiters is a seeded model test: callers at once ask over a held
// connection that breaks and is opened again, at an address that changes hands. The
// peer answers late, twice, in another order, what nobody asked, over another
// connection, and half; it says in each answer whom it is for and which life gives it.
// A question may go unanswered; it never gets another's answer, one of another life
// than the one that took it, or one after its time, and it is handled once at most.
func TestAnswersFindTheirWaiters(t *testing.T) {
	const seeds, callers, calls, wait = 6, 8, 30, 40 * time.Millisecond
	var mu sync.Mutex
	answered, struck := 0, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				taken := map[string]string{} // question -> life that took it
				var ends []*rawEnd           // of all lives, the dead ones too
				type late struct {
					seq uint64
					q   string
				}
				var old []late // what connections before have asked
				serve := func(l net.Listener, life string, rng *rand.Rand) {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						e := newRawEnd(c)
						mu.Lock()
						ends = append(ends, e)
						before := old[max(0, len(old)-20):]
						mu.Unlock()
						go func() {
							defer c.Close()
							for _, o := range before { // another connection's, and often another life's
								e.say(envelope{Seq: o.seq, Reply: true, Body: word{life + "|" + o.q}})
							}
							for n := 0; ; n++ {
								m, err := e.in.next()
								if err != nil {
									return
								}
								if m.Protocol > 0 {
									continue // the greeting
								}
								q := m.Body.(word).S
								a := envelope{Seq: m.Seq, Reply: true, Body: word{life + "|" + q}}
								mu.Lock()
								if was, ok := taken[q]; ok {
									t.Errorf("%s was taken by %s and by %s", q, was, life)
								}
								taken[q] = life
								old = append(old, late{m.Seq, q})
								other := ends[rng.IntN(len(ends))]
								trouble := []string{"", "", "", "", "twice", "late", "after its time", "unasked", "elsewhere", "half", "closed before", "closed after", "never", "garbage"}[max(0, rng.IntN(24)-10)]
								pause := time.Duration(rng.IntN(10)) * time.Millisecond
								half := rand.New(rand.NewPCG(rng.Uint64(), 1))
								struck[trouble]++
								mu.Unlock()
								switch trouble {
								case "":
									e.say(a)
								case "twice":
									e.say(a)
									e.say(a)
								case "late":
									time.AfterFunc(pause, func() { e.say(a) })
								case "after its time":
									time.AfterFunc(wait+pause, func() { e.say(a) })
								case "unasked":
									e.say(envelope{Seq: m.Seq + 1<<40, Reply: true, Body: word{"nobody's"}})
									e.say(envelope{Seq: 0, Reply: true, Body: word{"nobody's"}})
									e.say(envelope{Seq: m.Seq, Reply: true, Body: a.Body})
								case "elsewhere":
									other.say(a)
								case "half":
									e.sayHalf(a, half)
									return
								case "closed before":
									return
								case "closed after":
									e.say(a)
									return
								case "garbage":
									e.mu.Lock()
									io.WriteString(c, "\x00\x00\x00\x05hello")
									e.mu.Unlock()
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
				go serve(l, "life 1", rand.New(rand.NewPCG(seed, 1)))
				over := make(chan bool)
				var lives sync.WaitGroup
				lives.Go(func() {
					for n := uint64(2); ; n++ {
						select {
						case <-over:
							l.Close()
							return
						case <-time.After(80 * time.Millisecond):
						}
						l.Close() // the life ends with its connections; another has the address
						mu.Lock()
						for _, e := range ends {
							e.c.Close()
						}
						mu.Unlock()
						for {
							if l, err = net.Listen("tcp4", addr); err == nil {
								break
							}
							time.Sleep(time.Millisecond)
						}
						go serve(l, fmt.Sprint("life ", n), rand.New(rand.NewPCG(seed, n)))
					}
				})
				peer := NewPeer(addr, "127.0.0.1", nil)
				var wg sync.WaitGroup
				for c := range callers {
					wg.Go(func() {
						for n := range calls {
							q := fmt.Sprintf("%d-%d", c, n)
							conn := peer.Conn()
							for ; conn == nil; conn = peer.Conn() {
								time.Sleep(2 * time.Millisecond)
							}
							began := time.Now()
							v, err := conn.Call(word{q}, wait)
							took := time.Since(began)
							if err != nil {
								continue
							}
							life, to, _ := strings.Cut(v.(word).S, "|")
							mu.Lock()
							answered++
							if to != q || taken[q] != life {
								t.Errorf("seed %d: %s, taken by %q, was told %q", seed, q, taken[q], v)
							}
							mu.Unlock()
							if took > wait+time.Second {
								t.Errorf("seed %d: %s was answered after %v", seed, q, took)
							}
						}
					})
				}
				wg.Wait()
				close(over)
				lives.Wait()
				peer.Disconnect()
			})
		}
	})
	mu.Lock() // the last life's connections may still be ending
	defer mu.Unlock()
	if answered < seeds*callers*calls/5 {
		t.Errorf("%d answers of %d questions: too few to mean anything", answered, seeds*callers*calls)
	}
	t.Logf("%d answers of %d questions; %v", answered, seeds*callers*calls, struck)
}

// pair is a pipe and the raw end it speaks with.
func pair(t *testing.T, h Handler) (*Conn, *rawEnd) {
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
	return conn, newRawEnd(c)
}

// A connection that has been given up hands on no more words, though some have come
// already: those of a later one may have been handed on before.
func TestNothingIsHandedOnAfterTheEnd(t *testing.T) {
	var got []string
	first, goOn, last := make(chan bool), make(chan bool), make(chan bool)
	conn, e := pair(t, func(_ *Conn, body any) any {
		got = append(got, body.(word).S)
		if len(got) == 1 {
			close(first)
			<-goOn
		}
		if body.(word).S == "last" {
			close(last)
		}
		return nil
	})
	e.mu.Lock()
	e.c.Write(append(append(e.frame(envelope{Body: word{"first"}}), e.frame(envelope{Body: word{"next"}})...), e.frame(envelope{Body: word{"last"}})...))
	e.mu.Unlock()
	<-first
	conn.Close()
	close(goOn)
	select {
	case <-last:
		t.Errorf("after the end came %v", got[1:])
	case <-time.After(200 * time.Millisecond):
	}
}

// A frame holds one message and nothing else.
func TestFrameIsOneMessage(t *testing.T) {
	handled := make(chan string, 9)
	conn, e := pair(t, func(_ *Conn, body any) any { handled <- body.(word).S; return nil })
	one := e.frame(envelope{Body: word{"one"}})
	two := e.frame(envelope{Body: word{"two"}})
	both := append(binary.BigEndian.AppendUint32(nil, uint32(len(one)+len(two)-8)), one[4:]...)
	e.c.Write(append(both, two[4:]...))
	select {
	case <-conn.Done():
	case <-time.After(5 * time.Second):
		t.Error("the connection goes on")
	}
	if len(handled) > 0 {
		t.Errorf("%q was handed on from a frame that goes on after it", <-handled)
	}
}

// An answer that came in time to a process that was not there to see its time end,
// being frozen, is too old for whoever waits.
func TestLateAnswerIsNone(t *testing.T) {
	for range 10 {
		lateAnswer(t)
	}
}

func lateAnswer(t *testing.T) {
	conn, e := pair(t, nil)
	conn.queueMu.Lock() // the caller stands still between asking and looking
	conn.mu.Lock()
	next := conn.seq + 1
	conn.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Call(word{"q"}, 20*time.Millisecond)
		done <- err
	}()
	asked := func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.pending[next] != nil
	}
	for !asked() {
		time.Sleep(time.Millisecond)
	}
	e.say(envelope{Seq: next, Reply: true, Body: word{"old"}})
	for asked() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	conn.queueMu.Unlock()
	if err := <-done; err != ErrTimeout {
		t.Errorf("an answer after its time: %v", err)
	}
}
