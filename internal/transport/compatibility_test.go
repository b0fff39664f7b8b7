package transport_test

import (
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/admission"
	"slateridge/internal/autoscale"
	"slateridge/internal/controlplane"
	"slateridge/internal/controlplane/chain"
	"slateridge/internal/distribution"
	"slateridge/internal/duty"
	"slateridge/internal/gobtest"
	"slateridge/internal/lease"
	"slateridge/internal/transport"
	"slateridge/internal/usage"
)

var writeFixtures = flag.Bool("write-fixtures", false, "rewrite the list of wire names")

// messages returns the zero values of all messages between processes, in the order of the
// fixture.
func messages() []any {
	return []any{
		chain.Heartbeat{}, chain.Prepare{}, chain.Promise{}, chain.Nack{}, chain.Sync{}, chain.Synced{},
		chain.Accept{}, chain.Accepted{}, chain.Decide{}, chain.Replicate{}, chain.ResendRequest{}, chain.Ack{},
		chain.NewerState{}, chain.Retire{}, chain.Forward{}, chain.EvacuationOrder{}, chain.Confirm{}, chain.Confirmed{},
		chain.Read{}, chain.ReadAnswer{}, chain.Fetch{}, chain.Fetched{},
		controlplane.RosterUpdate{}, controlplane.ListUpdate{}, controlplane.ListRequest{},
		distribution.Subscription{}, distribution.Update{},
		duty.Order{}, lease.Request{}, lease.Grant{}, lease.Release{},
		usage.Handover{}, usage.Report{}, usage.Ack{}, autoscale.Report{}, autoscale.Ack{},
		admission.GrantRequest{}, admission.Grants{},
		accounts.Report{}, accounts.ReportAck{}, accounts.Prepare{}, accounts.Promise{}, accounts.Reject{}, accounts.Replicate{}, accounts.Replicated{},
	}
}

// filledMessages returns the messages that the wire-name list of a build contains, with
// values in the fields that the list names.
func filledMessages(t *testing.T, list string) []any {
	var out []any
	for _, m := range messages() {
		name := wireName(t, m)
		_, fields, found := strings.Cut("\n"+list, "\n"+name+"\n")
		if !found {
			continue // a message that was added later
		}
		fields, _, _ = strings.Cut(fields, "\nslateridge/")
		v := reflect.New(reflect.TypeOf(m))
		gobtest.Fill("message", v.Interface(), fields)
		out = append(out, v.Elem().Interface())
	}
	return out
}

// receive sends the given bytes to a server and returns the messages that it handles.
func receive(t *testing.T, stream []byte, count int) []any {
	l, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	bodies := make(chan any, count)
	go transport.Serve(l, func(_ *transport.Conn, body any) any {
		bodies <- body
		return nil
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(stream); err != nil {
		t.Fatal(err)
	}
	var out []any
	for range count {
		select {
		case b := <-bodies:
			out = append(out, b)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d messages arrived", len(out), count)
		}
	}
	return out
}

// Every message and field that the last build before the greeting sent is decoded. The
// fixture holds the bytes that this build wrote, and its list the messages and fields in
// them.
func TestMessagesOfOlderBuildAreDecoded(t *testing.T) {
	list := string(readFixture(t, "protocol-0", "wire-names.txt"))
	want := filledMessages(t, list)
	if len(want) != 38 {
		t.Fatalf("%d of 38 messages are known", len(want))
	}
	for i, got := range receive(t, readFixture(t, "protocol-0", "messages.bin"), len(want)) {
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%T:\ngot  %+v\nwant %+v", want[i], got, want[i])
		}
	}
}

func readFixture(t *testing.T, path ...string) []byte {
	content, err := os.ReadFile(filepath.Join("testdata", filepath.Join(path...)))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// The wire names of all messages and of their fields must not change, because older builds
// know only these. Lines may be added to the fixture, but not changed or removed.
func TestWireNamesDoNotChange(t *testing.T) {
	var got strings.Builder
	for _, m := range messages() {
		fmt.Fprintf(&got, "%s\n%s\n", wireName(t, m), gobtest.Describe(m))
	}
	if *writeFixtures {
		if err := os.WriteFile(filepath.Join("testdata", "wire-names.txt"), []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := readFixture(t, "wire-names.txt")
	gotLines, wantLines := strings.Split(got.String(), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		g, w := lineAt(gotLines, i), lineAt(wantLines, i)
		if g != w {
			t.Fatalf("line %d is %q, but the fixture has %q", i+1, g, w)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(none)"
}

// anyBody holds a value in an interface, which gob encodes with the registered type name.
type anyBody struct{ Body any }

// wireName returns the name under which gob sends a message. In the encoding it follows its
// length.
func wireName(t *testing.T, message any) string {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(anyBody{message}); err != nil {
		t.Fatal(err)
	}
	const prefix = "slateridge/"
	encoded := out.Bytes()
	at := bytes.Index(encoded, []byte(prefix))
	if at < 1 {
		t.Fatalf("%T is sent without a registered name: %q", message, encoded)
	}
	return string(encoded[at : at+int(encoded[at-1])])
}
