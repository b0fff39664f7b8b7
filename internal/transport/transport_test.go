package transport

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// testMessage is a message with a text.
type testMessage struct{ S string }

func init() { Register("test.message", testMessage{}) }

// serve starts a server that replies to a testMessage with its text in upper case.
func serve(t *testing.T) net.Listener {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go Serve(l, func(_ *Conn, body any) any {
		if m, ok := body.(testMessage); ok {
			return testMessage{strings.ToUpper(m.S)}
		}
		return nil
	})
	return l
}

// Invalid input closes its connection and is counted. Other connections are not affected.
func TestInvalidInputClosesTheConnection(t *testing.T) {
	l := serve(t)
	good, err := Dial(l.Addr().String(), "127.0.0.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close()
	tooLong := make([]byte, 4)
	binary.BigEndian.PutUint32(tooLong, constants.MaxFrameBytes+1)
	notGob := append([]byte{0, 0, 0, 9}, "not a gob"...)
	for _, input := range [][]byte{tooLong, notGob} {
		before := Malformed.Load()
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(input)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Fatal("invalid input was answered")
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("the connection is still open after invalid input")
		}
		c.Close()
		if Malformed.Load() == before {
			t.Error("invalid input was not counted")
		}
	}
	if v, err := good.Call(testMessage{"ping"}, 10*time.Second); err != nil || v.(testMessage).S != "PING" {
		t.Fatalf("reply on the other connection: %v, %v", v, err)
	}
}

// The connection to a peer that does not read is closed once its send queue is full, so
// that the peer neither blocks this process nor fills its memory.
func TestSlowReaderIsDisconnected(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := Dial(l.Addr().String(), "127.0.0.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	large := testMessage{strings.Repeat("x", 64<<10)}
	for range 100 * constants.SendQueueLength {
		if conn.Send(large) != nil {
			<-conn.Done()
			return
		}
	}
	t.Fatal("the send queue is not bounded")
}
