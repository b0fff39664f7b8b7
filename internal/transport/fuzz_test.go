package transport

import (
	"bytes"
	"encoding/binary"
	"io"
	"reflect"
	"strings"
	"testing"

	"slateridge/internal/constants"
)

// compositeMessage is a message with fields of all kinds that messages use.
type compositeMessage struct {
	N    uint64
	F    float64
	Text string
	Raw  []byte
	List []testMessage
	Map  map[string]testMessage
	Any  any
	Ref  *testMessage
}

func init() { Register("test.composite", compositeMessage{}) }

// FuzzFrames decodes arbitrary input. The decoder must accept complete frames of bounded
// size only and return no more messages than there are frames, and each message must be the
// same after it has been encoded and decoded again.
func FuzzFrames(f *testing.F) {
	sender := newRawConn(nil)
	var all []byte
	for _, m := range []envelope{{Body: testMessage{"hello"}}, {Seq: 7, Body: testMessage{""}}, {Seq: 7, Reply: true, Body: testMessage{strings.Repeat("x", 300)}}, {Seq: 1 << 40},
		{Body: compositeMessage{N: 3, F: -1.5, Text: "t", Raw: []byte{0, 1}, List: []testMessage{{"a"}, {"b"}}, Map: map[string]testMessage{"k": {"v"}}, Any: testMessage{"in"}, Ref: &testMessage{"r"}}}} {
		all = append(all, sender.frame(m)...)
		f.Add(bytes.Clone(all))
	}
	f.Add(all[:len(all)-3])
	f.Add(binary.BigEndian.AppendUint32(nil, constants.MaxFrameBytes+1))
	f.Add(append([]byte{0, 0, 0, 9}, "not a gob"...))
	f.Add(append([]byte{0, 0, 0, 6}, 0xfc, 0x3f, 0xff, 0xff, 0xff, 0)) // a gob whose length prefix is one gigabyte
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		dec := newDecoder(bytes.NewReader(data))
		reencoder := newRawConn(nil)
		var reencoded []byte
		var messages []envelope
		for {
			m, err := dec.next()
			if err != nil {
				break
			}
			if messages = append(messages, m); len(messages) > len(data)/4 {
				t.Fatalf("%d messages decoded from %d bytes", len(messages), len(data))
			}
			reencoded = append(reencoded, reencoder.frame(m)...)
		}
		dec = newDecoder(bytes.NewReader(reencoded))
		for i, m := range messages {
			decoded, err := dec.next()
			if err != nil || !equal(decoded, m) {
				t.Fatalf("message %d: %+v was decoded as %+v, %v", i, m, decoded, err)
			}
		}
		if _, err := dec.next(); err != io.EOF {
			t.Fatalf("decoding after the last message: %v", err)
		}
	})
}

// equal compares two envelopes, also by their encoding, because NaN is not equal to itself.
func equal(a, b envelope) bool {
	return reflect.DeepEqual(a, b) || bytes.Equal(newRawConn(nil).frame(a), newRawConn(nil).frame(b))
}
