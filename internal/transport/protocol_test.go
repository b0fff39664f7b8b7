package transport

import (
	"bytes"
	"encoding/gob"
	"net"
	"strings"
	"testing"
	"time"
)

// oldEnvelope is the envelope of the builds before the greeting.
type oldEnvelope struct {
	Seq   uint64
	Reply bool
	Body  any
}

// Builds before the greeting decode it as a reply to no pending request, which they ignore,
// and go on with the next message.
func TestOlderBuildIgnoresTheGreeting(t *testing.T) {
	var buf bytes.Buffer
	enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
	for _, e := range []envelope{greeting, {Seq: 7, Body: testMessage{"request"}}} {
		if err := enc.Encode(e); err != nil {
			t.Fatal(err)
		}
	}
	var first, second oldEnvelope
	if err := dec.Decode(&first); err != nil || first != (oldEnvelope{Reply: true}) {
		t.Errorf("the greeting was decoded as %+v, %v", first, err)
	}
	if err := dec.Decode(&second); err != nil || second != (oldEnvelope{Seq: 7, Body: testMessage{"request"}}) {
		t.Errorf("the message after it was decoded as %+v, %v", second, err)
	}
}

func TestProtocolCompatibility(t *testing.T) {
	for _, c := range []struct {
		a, b Protocol
		want bool
	}{
		{Protocol{1, 0}, Protocol{0, 0}, true},
		{Protocol{1, 0}, Protocol{1, 0}, true},
		{Protocol{3, 1}, Protocol{1, 0}, true},
		{Protocol{3, 2}, Protocol{1, 0}, false},
		{Protocol{3, 1}, Protocol{0, 0}, false},
	} {
		if c.a.compatibleWith(c.b) != c.want || c.b.compatibleWith(c.a) != c.want {
			t.Errorf("%v and %v: compatible is not %v", c.a, c.b, c.want)
		}
	}
}

// A peer without a common protocol version receives the greeting of this build before its
// connection is closed. It is reported once, in a line that names the older build. None of
// its messages is handled, and other connections are not affected.
func TestIncompatibleBuildIsReportedOnce(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	handled := make(chan any, 10)
	go Serve(l, func(_ *Conn, body any) any {
		handled <- body
		return body
	})
	good, err := Dial(l.Addr().String(), "127.0.0.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close()
	for range 2 {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		remote := newRawConn(c)
		remote.send(envelope{Reply: true, Protocol: localProtocol.Newest + 5, Oldest: localProtocol.Newest + 1})
		remote.send(envelope{Body: testMessage{"incompatible"}})
		if e, err := remote.dec.next(); err != nil || protocolOf(e) != localProtocol {
			t.Errorf("the peer received %+v, %v", e, err)
		}
		if _, err := remote.dec.next(); err == nil {
			t.Error("the connection is still open")
		}
		c.Close()
	}
	if v, err := good.Call(testMessage{"ping"}, 10*time.Second); err != nil || v != any(testMessage{"ping"}) {
		t.Errorf("reply on the other connection: %v, %v", v, err)
	}
	close(handled)
	var messages []any
	for body := range handled {
		messages = append(messages, body)
	}
	if len(messages) != 2 || messages[1] != any(testMessage{"ping"}) {
		t.Fatalf("messages handled: %+v", messages)
	}
	report, isReport := messages[0].(IncompatiblePeer)
	if !isReport || !strings.HasSuffix(report.String(), "this build is the older one") || strings.Contains(report.String(), "\n") {
		t.Errorf("reported: %v", messages[0])
	}
}
