package membership

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"slateridge/internal/gobtest"
)

// datagramFields lists the fields of a datagram written by the build that preceded the
// negotiation of protocol versions.
const datagramFields = `    .Kind int
    .Seq uint64
    .Target string
    .Facts[].Addr string
    .Facts[].Name string
    .Facts[].Num uint32
    .Facts[].State int`

// TestDecodeDatagramOfPreviousBuild checks that every field of a datagram written by an earlier
// build is decoded.
func TestDecodeDatagramOfPreviousBuild(t *testing.T) {
	var want, got Msg
	gobtest.Fill("datagram", &want, datagramFields)
	datagram, err := os.ReadFile(filepath.Join("testdata", "datagram-before.bin"))
	if err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(bytes.NewReader(datagram)).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
