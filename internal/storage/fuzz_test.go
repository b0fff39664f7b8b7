package storage

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/tidwall/buntdb"
)

// validFile returns a store file with several records, and the offsets at which they end.
func validFile() (b []byte, ends []int) {
	b = header()
	ends = []int{len(b)}
	for i := range 6 {
		key := keys[i%2]
		b = append(b, appendRecord(nil, key, encodeValue(key, fmt.Sprint("value ", i)))...)
		ends = append(ends, len(b))
	}
	return b, ends
}

// FuzzFile opens a file of arbitrary bytes. Open must not panic, and a store that opens
// must contain only values that the file contains with a valid checksum, accept a write,
// and contain the same values when it is reopened.
func FuzzFile(f *testing.F) {
	valid, _ := validFile()
	f.Add([]byte{})
	f.Add(valid)
	f.Add(header())
	f.Add(valid[:len(valid)-5])
	f.Add(append(bytes.Clone(valid), "*3\r\n$3\r\nset\r\n$1\r\na\r\n$"...))
	f.Add(oldStore("agreement", "one", "held", "x"))
	f.Add(oldRecord("agreement", "one")[:20])
	f.Add(appendRecord(nil, headerKey, encodeValue(headerKey, "2")))
	f.Add([]byte("*3\r\n$0\r\n\r\n$1\r\nk\r\n$10\r\n8cdc1683 x\r\n"))
	f.Add([]byte("*3\r\n$3\r\nset\r\n$+1\r\nk\r\n$010\r\n8cdc1683 x\r\n"))
	f.Add([]byte("*1\r\n$7\r\nflushdb\r\n"))
	f.Add(append(header(), "*2\r\n$3\r\ndel\r\n$1\r\na\r\n"...))
	f.Add([]byte("*3\r\n$3\r\nset\r\n$99999999999\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, hasHeader, _ := inspect(b)
		d := newDiskWith(map[string][]byte{fileName: b})
		store, isNew, err := open(d)
		if err != nil {
			if !bytes.Equal(d.entries[fileName].data(), b) {
				t.Fatalf("the file was rejected with %v, but changed", err)
			}
			return
		}
		defer store.Close()
		if store.Failed() || isNew != store.empty() {
			t.Fatalf("failed %v, new %v", store.Failed(), isNew)
		}
		vals := map[string]string{}
		store.db.View(func(tx *buntdb.Tx) error {
			return tx.Ascend("", func(key, val string) bool {
				vals[key] = val
				body, ok := decodeValue(key, val)
				if !ok {
					t.Fatalf("%q is %q, whose checksum is wrong", key, val)
				}
				for pos := 0; ; pos++ {
					next := bytes.Index(b[pos:], []byte(recordPrefix))
					if next < 0 {
						t.Fatalf("%q is %q, which the file does not contain", key, val)
					}
					pos += next
					if k, v, n := parseRecord(b[pos:]); n > 0 && k == key {
						if recordBody, ok := verifyChecksum(v); ok && (hasHeader && v == val || !hasHeader && recordBody == body) {
							break
						}
					}
				}
				return true
			})
		})
		if err := store.Put("next", 7); err != nil {
			t.Fatal(err)
		}
		reopened, _, err := open(d)
		if err != nil {
			t.Fatalf("the store does not reopen: %v", err)
		}
		defer reopened.Close()
		reopened.db.View(func(tx *buntdb.Tx) error {
			for key, val := range vals {
				if got, err := tx.Get(key); key != "next" && (err != nil || got != val) {
					t.Fatalf("%q was %q and is %q after reopening: %v", key, val, got, err)
				}
			}
			return nil
		})
	})
}

// FuzzDamage changes up to two bytes of a valid file and truncates it. Open must either
// reject the file or return for each key the newest value of the undamaged records at the
// start of the file. It must not drop a damaged record that is followed by a valid one.
func FuzzDamage(f *testing.F) {
	valid, ends := validFile()
	f.Add(uint16(70), byte(1), uint16(200), byte(0), uint16(0xffff))
	f.Add(uint16(0), byte(1), uint16(0), byte(0), uint16(0xffff))
	f.Add(uint16(len(valid)-3), byte(0x80), uint16(0), byte(0), uint16(0xffff))
	f.Add(uint16(0), byte(0), uint16(0), byte(0), uint16(100))
	f.Add(uint16(0), byte(0), uint16(0), byte(0), uint16(3))
	f.Add(uint16(93), byte(1), uint16(30), byte('>'), uint16(0xffff))  // regression: a header with a damaged key was accepted as an old store
	f.Add(uint16(175), byte('\f'), uint16(91), byte(' '), uint16(155)) // regression: so was one whose checksum was in upper case
	for _, e := range ends {
		f.Add(uint16(e), byte('*'), uint16(e-1), byte('\n'), uint16(0xffff))
	}
	f.Fuzz(func(t *testing.T, pos1 uint16, xor1 byte, pos2 uint16, xor2 byte, size uint16) {
		b := bytes.Clone(valid)
		b[int(pos1)%len(b)] ^= xor1
		b[int(pos2)%len(b)] ^= xor2
		b = b[:min(len(b), int(size))]
		store, isNew, err := openBytes(b)
		if err != nil {
			return
		}
		defer store.Close()
		unchanged := 0 // length of the undamaged start of the file
		for unchanged < len(b) && b[unchanged] == valid[unchanged] {
			unchanged++
		}
		intact := 0 // records after the header that are unchanged
		for intact < len(ends)-1 && ends[intact+1] <= unchanged {
			intact++
		}
		for i := intact + 1; i < len(ends)-1 && ends[i+1] <= len(b); i++ {
			if bytes.Equal(b[ends[i]:ends[i+1]], valid[ends[i]:ends[i+1]]) {
				t.Fatalf("opened although record %d is damaged and record %d after it is valid", intact, i)
			}
		}
		if isNew != (intact == 0) {
			t.Fatalf("new %v, with %d intact records", isNew, intact)
		}
		want := map[string]string{}
		for i := range intact {
			want[keys[i%2]] = fmt.Sprint("value ", i)
		}
		for _, k := range keys {
			got := ""
			store.db.View(func(tx *buntdb.Tx) error {
				val, err := tx.Get(k)
				got, _ = decodeValue(k, val)
				return err
			})
			if got != want[k] {
				t.Fatalf("%s is %q, want %q (%d intact records)", k, got, want[k], intact)
			}
		}
	})
}
