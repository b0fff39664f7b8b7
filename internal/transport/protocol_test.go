package transport

import (
	"bytes"
	"encoding/gob"
	"net"
	"strings"
	"testing"
	"time"
)

// oldEnvelope is the envelope of the builds before greetings.
type oldEnvelope struct {
	Seq   uint64
	Reply bool
	Body  any
}

// The builds before greetings read one, pass over it as a reply that nobody waits for,
// and read on: both speak.
func TestGreetingMeansNothingToTheBuildBefore(t *testing.T) {
	var buf bytes.Buffer
	enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
	for _, e := range []envelope{greeting, {Seq: 7, Body: word{"asked"}}} {
		if err := enc.Encode(e); err != nil {
			t.Fatal(err)
		}
	}
	var first, second oldEnvelope
	if err := dec.Decode(&first); err != nil || first != (oldEnvelope{Reply: true}) {
		t.Errorf("the greeting reads as %+v, %v", first, err)
	}
	if err := dec.Decode(&second); err != nil || second != (oldEnvelope{Seq: 7, Body: word{"asked"}}) {
		t.Errorf("the message behind it reads as %+v, %v", second, err)
	}
}

func TestVersionsInCommon(t *testing.T) {
	for _, c := range []struct {
		one, other Protocol
		want       bool
	}{
		{Protocol{1, 0}, Protocol{0, 0}, true},
		{Protocol{1, 0}, Protocol{1, 0}, true},
		{Protocol{3, 1}, Protocol{1, 0}, true},
		{Protocol{3, 2}, Protocol{1, 0}, false},
		{Protocol{3, 1}, Protocol{0, 0}, false},
	} {
		if c.one.speaksWith(c.other) != c.want || c.other.speaksWith(c.one) != c.want {
			t.Errorf("%v and %v: in common is not %v", c.one, c.other, c.want)
		}
	}
}

// A machine of a build with no version in common is told what is spoken here, and its
// connection ends; here that is reported once, in a line that says which is the older.
// None of its messages is taken, and other connections go on.
func TestIncompatibleBuildIsReportedOnce(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	taken := make(chan any, 10)
	go Serve(l, func(_ *Conn, body any) any {
		taken <- body
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
		end := newRawEnd(c)
		end.say(envelope{Reply: true, Protocol: ours.Newest + 5, Oldest: ours.Newest + 1})
		end.say(envelope{Body: word{"in a language of its own"}})
		if e, err := end.in.next(); err != nil || protocolOf(e) != ours {
			t.Errorf("it was told %+v, %v", e, err)
		}
		if _, err := end.in.next(); err == nil {
			t.Error("its connection goes on")
		}
		c.Close()
	}
	if v, err := good.Call(word{"still here"}, 10*time.Second); err != nil || v != any(word{"still here"}) {
		t.Errorf("the other connection: %v, %v", v, err)
	}
	close(taken)
	var all []any
	for body := range taken {
		all = append(all, body)
	}
	if len(all) != 2 || all[1] != any(word{"still here"}) {
		t.Fatalf("taken: %+v", all)
	}
	report, isReport := all[0].(IncompatiblePeer)
	if !isReport || !strings.HasSuffix(report.String(), "this build is the older one") || strings.Contains(report.String(), "\n") {
		t.Errorf("reported: %v", all[0])
	}
}
