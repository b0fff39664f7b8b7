package staff

import (
	"bytes"
	"encoding/gob"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"slateridge/internal/gobtest"
)

var writeFixtures = flag.Bool("write-fixtures", false, "write the fixture of a datagram anew")

// A datagram of the build before is understood, every field of it.
func TestDatagramOfTheBuildBeforeIsUnderstood(t *testing.T) {
	path := filepath.Join("testdata", "datagram-before.bin")
	var want, got Msg
	gobtest.Fill("datagram", &want)
	if *writeFixtures {
		var out bytes.Buffer
		if err := gob.NewEncoder(&out).Encode(want); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	datagram, err := os.ReadFile(path)
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
