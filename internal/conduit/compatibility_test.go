package conduit_test

import (
	"flag"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"slateridge/internal/conduit"
	"slateridge/internal/duty"
	"slateridge/internal/gobtest"
	"slateridge/internal/headworks"
	"slateridge/internal/penstock"
	"slateridge/internal/scaling"
	"slateridge/internal/usage"
	"slateridge/internal/watermaster"
	"slateridge/internal/weir"
)

var write = flag.Bool("write-fixtures", false, "write the fixtures of this protocol anew")

// messages are all messages between processes, in the order of the fixture.
func messages() []any {
	return []any{
		headworks.Gauge{}, headworks.Prepare{}, headworks.Promise{}, headworks.Nack{}, headworks.Sync{}, headworks.Synced{},
		headworks.Accept{}, headworks.Accepted{}, headworks.Decide{}, headworks.Pass{}, headworks.Lack{}, headworks.Ack{},
		headworks.Higher{}, headworks.Retire{}, headworks.Forward{}, headworks.Order{}, headworks.Confirm{}, headworks.Confirmed{},
		headworks.Read{}, headworks.Answer{}, headworks.Fetch{}, headworks.Fetched{},
		headworks.Roster{}, headworks.ListNews{}, headworks.ListAsk{},
		penstock.Tap{}, penstock.News{},
		duty.Order{}, watermaster.Ask{}, watermaster.Grant{}, watermaster.Release{},
		usage.Handover{}, usage.Told{}, usage.Heard{}, scaling.Told{}, scaling.Heard{},
		weir.AskGrants{}, weir.GrantsGiven{},
	}
}

// filled are the messages with content.
func filled() []any {
	var out []any
	for _, m := range messages() {
		v := reflect.New(reflect.TypeOf(m))
		gobtest.Fill("message", v.Interface())
		out = append(out, v.Elem().Interface())
	}
	return out
}

// sent is what a connection carries when the messages are sent over it.
func sent(t *testing.T, bodies []any) []byte {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := conduit.Dial(l.Addr().String(), "127.0.0.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, b := range bodies {
		if err := p.Send(b); err != nil {
			t.Fatal(err)
		}
	}
	var out []byte
	buf := make([]byte, 64<<10)
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	for {
		n, err := c.Read(buf)
		out = append(out, buf[:n]...)
		if err != nil {
			p.Close()
			return out
		}
	}
}

// received is what a process takes from a connection that carries these bytes.
func received(t *testing.T, bytes []byte, count int) []any {
	l, err := conduit.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	bodies := make(chan any, count)
	go conduit.Serve(l, func(_ *conduit.Pipe, body any) any {
		bodies <- body
		return nil
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(bytes); err != nil {
		t.Fatal(err)
	}
	var out []any
	for range count {
		select {
		case b := <-bodies:
			out = append(out, b)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d messages of %d arrived", len(out), count)
		}
	}
	return out
}

// What the build before the first greeting sent is understood, every message and every
// field: the fixture holds the bytes that it wrote.
func TestMessagesOfTheBuildBeforeAreUnderstood(t *testing.T) {
	path := filepath.Join("testdata", "protocol-0", "messages.bin")
	want := filled()
	if *write {
		if err := os.WriteFile(path, sent(t, want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	bytes, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, got := range received(t, bytes, len(want)) {
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%T:\ngot  %+v\nwant %+v", want[i], got, want[i])
		}
	}
}
