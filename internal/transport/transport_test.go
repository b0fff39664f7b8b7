package transport

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"slateridge/internal/constants"
)

type word struct{ S string }

func init() { Register("test.word", word{}) }

func serve(t *testing.T) net.Listener {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go Serve(l, func(conn *Conn, body any) any {
		if w, ok := body.(word); ok {
			return word{strings.ToUpper(w.S)}
		}
		return nil
	})
	return l
}

// Garbage ends its connection, is counted, and harms no other.
func TestGarbageIsDropped(t *testing.T) {
	l := serve(t)
	good, err := Dial(l.Addr().String(), "127.0.0.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close()
	long := make([]byte, 4)
	binary.BigEndian.PutUint32(long, constants.FrameMax+1)
	short := append([]byte{0, 0, 0, 9}, "not a gob"...)
	for _, junk := range [][]byte{long, short} {
		before := Malformed.Load()
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(junk)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Fatal("garbage was answered")
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("the connection stayed open")
		}
		c.Close()
		if Malformed.Load() == before {
			t.Error("garbage was not counted")
		}
	}
	if v, err := good.Call(word{"still here"}, 10*time.Second); err != nil || v.(word).S != "STILL HERE" {
		t.Fatalf("the other connection: %v %v", v, err)
	}
}

// A peer that does not read loses its connection; it does not hold up or fill
// this process.
func TestSlowReaderIsDropped(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := Dial(l.Addr().String(), "127.0.0.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	big := word{strings.Repeat("x", 64<<10)}
	for range 100 * constants.SendQueue {
		if conn.Send(big) != nil {
			<-conn.Done()
			return
		}
	}
	t.Fatal("the queue has no bound")
}
