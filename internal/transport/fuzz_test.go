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

// bag is a message of all shapes.
type bag struct {
	N    uint64
	F    float64
	Text string
	Raw  []byte
	List []word
	Map  map[string]word
	Any  any
	Ref  *word
}

func init() { Register("test.bag", bag{}) }

// FuzzFrames feeds a connection's reader any bytes: it takes whole, bounded messages
// and never more than the frames held, and what it takes can be said again the same.
func FuzzFrames(f *testing.F) {
	e := newRawEnd(nil)
	var all []byte
	for _, m := range []envelope{{Body: word{"hello"}}, {Seq: 7, Body: word{""}}, {Seq: 7, Reply: true, Body: word{strings.Repeat("x", 300)}}, {Seq: 1 << 40},
		{Body: bag{N: 3, F: -1.5, Text: "t", Raw: []byte{0, 1}, List: []word{{"a"}, {"b"}}, Map: map[string]word{"k": {"v"}}, Any: word{"in"}, Ref: &word{"r"}}}} {
		all = append(all, e.frame(m)...)
		f.Add(bytes.Clone(all))
	}
	f.Add(all[:len(all)-3])
	f.Add(binary.BigEndian.AppendUint32(nil, constants.FrameMax+1))
	f.Add(append([]byte{0, 0, 0, 9}, "not a gob"...))
	f.Add(append([]byte{0, 0, 0, 6}, 0xfc, 0x3f, 0xff, 0xff, 0xff, 0)) // a gob that claims a gigabyte
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		in := newDecoder(bytes.NewReader(data))
		again := newRawEnd(nil)
		var said []byte
		var got []envelope
		for {
			m, err := in.next()
			if err != nil {
				break
			}
			if got = append(got, m); len(got) > len(data)/4 {
				t.Fatalf("%d messages of %d bytes", len(got), len(data))
			}
			said = append(said, again.frame(m)...)
		}
		in = newDecoder(bytes.NewReader(said))
		for i, m := range got {
			back, err := in.next()
			if err != nil || !same(back, m) {
				t.Fatalf("message %d: %+v came back as %+v, %v", i, m, back, err)
			}
		}
		if _, err := in.next(); err != io.EOF {
			t.Fatalf("after the last: %v", err)
		}
	})
}

// same compares by what is written, which a number that is none differs from itself in.
func same(a, b envelope) bool {
	return reflect.DeepEqual(a, b) || bytes.Equal(newRawEnd(nil).frame(a), newRawEnd(nil).frame(b))
}
