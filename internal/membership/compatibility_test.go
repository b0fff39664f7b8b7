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

// datagramFields are what a datagram told before there were greetings.
const datagramFields = `    .Kind int
    .Seq uint64
    .Target string
    .Facts[].Addr string
    .Facts[].Name string
    .Facts[].Num uint32
    .Facts[].State int`

// A datagram of the build before is understood, every field of it.
func TestDatagramOfTheBuildBeforeIsUnderstood(t *testing.T) {
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
