package storage

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tidwall/buntdb"
)

// oldRecord is one of before the format had a number.
func oldRecord(key, val string) []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(val)
	return appendRecord(nil, key, fmt.Sprintf("%x %s", crc32.ChecksumIEEE(b.Bytes()), b.Bytes()))
}

func oldStore(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = append(b, oldRecord(pairs[i], pairs[i+1])...)
	}
	return b
}

func put(t *testing.T, b []byte) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), b, 0o644); err != nil {
		t.Fatal(err)
	}
	return dir
}

// refused checks that a file is not opened, with one line that names it, and is
// left as it is.
func refused(t *testing.T, b []byte, why string) {
	t.Helper()
	dir := put(t, b)
	_, _, err := Open(dir)
	if err == nil {
		t.Fatalf("opened: %.100q", b)
	}
	if s := err.Error(); !strings.Contains(s, filepath.Join(dir, fileName)) || !strings.Contains(s, why) || strings.Contains(s, "\n") {
		t.Fatalf("the line does not say %q: %s", why, s)
	}
	if after, _ := os.ReadFile(filepath.Join(dir, fileName)); !bytes.Equal(after, b) {
		t.Fatal("a file that was refused was changed")
	}
}

func TestOldStoreOpens(t *testing.T) {
	old := oldStore("agreement", "one", "held", "first", "held", "second")
	for _, tail := range []string{"", "*3\r\n$3\r\nset\r\n$4\r\nheld\r\n$40\r\nabc", "\x00\x00\x00"} {
		dir := put(t, append(bytes.Clone(old), tail...))
		for life := range 2 { // the second finds it in the present format
			c, fresh, err := Open(dir)
			if err != nil || fresh || get(c, "agreement") != "one" || get(c, "held") != "second" {
				t.Fatalf("life %d: %v, new %v, held %q", life, err, fresh, get(c, "held"))
			}
			c.Close()
			if b, _ := os.ReadFile(filepath.Join(dir, fileName)); !bytes.HasPrefix(b, header()) {
				t.Fatal("not brought into the present format")
			}
		}
	}
	// Older programs made the file empty, under its name.
	c, fresh, err := Open(put(t, nil))
	if err != nil || !fresh {
		t.Fatalf("an empty file: %v, new %v", err, fresh)
	}
	c.Close()
}

// An older program that is started again on the file finds its values: buntdb
// reads it, and the checksum is where it was.
func TestOlderProgramReadsTheFile(t *testing.T) {
	dir := t.TempDir()
	c := mustOpen(t, dir)
	c.Put("held", "first")
	c.Put("held", "second")
	db, err := buntdb.Open(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	db.View(func(tx *buntdb.Tx) error {
		val, err := tx.Get("held")
		body, ok := checked(val)
		var s string
		if err != nil || !ok || gob.NewDecoder(strings.NewReader(body)).Decode(&s) != nil || s != "second" {
			t.Fatalf("%q %v", val, err)
		}
		return nil
	})
}

func TestNewerFormatIsRefused(t *testing.T) {
	for _, rest := range []string{"", "what only that format knows", string(appendRecord(nil, "held", seal("held", "x")))} {
		refused(t, append(appendRecord(nil, headerKey, seal(headerKey, fmt.Sprint(formatVersion+1))), rest...), "newer")
	}
	for _, v := range []string{"0", "-1", "x", ""} {
		refused(t, appendRecord(nil, headerKey, seal(headerKey, v)), "not a store")
	}
}

func TestForeignFileIsRefused(t *testing.T) {
	good := append(header(), appendRecord(nil, "held", seal("held", "x"))...)
	for _, b := range []string{
		"something else altogether",
		"SQLite format 3\x00" + strings.Repeat("\x00", 4000),
		"*3\r\n$3\r\nset\r\n$3\r\nkey\r\n$5\r\nvalue\r\n", // another program's buntdb
		"*2\r\n$3\r\ndel\r\n$3\r\nkey\r\n",
		"*3\r\n$0\r\n\r\n$1\r\nk\r\n$10\r\n8cdc1683 x\r\n", // buntdb panics at this
		string(good[1:]),
		string(good[:len(header())-1]), // a header is synced before the file has its name
		strings.Repeat("\x00", 1<<20),
		string(oldStore("agreement", "one", "held", "x")[1:]),
		string(bytes.Replace(oldStore("agreement", "one", "held", "x"), []byte("one"), []byte("ONE"), 1)),
	} {
		refused(t, []byte(b), "not a store")
	}
}

// A record that is damaged is not a torn end if whole ones follow: what was
// replaced must not come back.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	b := header()
	for _, v := range []string{"one", "two", "three"} {
		b = append(b, appendRecord(nil, "held", seal("held", v))...)
	}
	last := bytes.LastIndex(b, []byte(setFrame))
	for i := len(header()); i < last; i++ {
		bad := bytes.Clone(b)
		bad[i] ^= 4
		if _, _, _, err := inspect(bad); err == nil || !strings.Contains(err.Error(), "damaged") {
			t.Fatalf("a flip at %d of %d: %v", i, len(b), err)
		}
	}
	bad := bytes.Clone(b)
	bad[bytes.Index(bad, []byte("two"))] ^= 1
	refused(t, bad, "damaged at byte")
	// The last one looks like a torn write, whatever its damage.
	for i := last; i < len(b); i++ {
		bad := bytes.Clone(b)
		bad[i] ^= 4
		if _, to, _, err := inspect(bad); err != nil || to != last {
			t.Fatalf("a flip at %d of %d: whole up to %d, %v", i, len(b), to, err)
		}
	}
}

// The first record an older program wrote into its new file was never
// acknowledged if it is torn: the store is new. The present one gives a file its
// name when its header is synced; see TestStopAfterEveryOperation.
func TestTornFirstRecordOpensAsNew(t *testing.T) {
	first := oldRecord("agreement", "what a machine of the first view agrees to")
	ends := 0
	open := func(b []byte) {
		ends++
		c, fresh, err := open(diskWith(map[string][]byte{fileName: b}))
		if err != nil || !fresh {
			t.Fatalf("%q: %v, new %v", b, err, fresh)
		}
		if c.Put("held", "x") != nil {
			t.Fatal("takes nothing")
		}
		c.Close()
	}
	for p := range len(first) {
		open(first[:p])
		head, tail := bytes.Clone(first), bytes.Clone(first)
		clear(head[p:])
		clear(tail[:p+1])
		open(head)
		open(tail)
	}
	// With a record behind it, it had been acknowledged. (Keys were under no
	// checksum then, so damage to one goes unseen.)
	for _, p := range []int{0, 1, 14, 26, 29, len(first) / 2, len(first) - 3} {
		b := append(bytes.Clone(first), oldRecord("incarnation", "1")...)
		b[p] ^= 8
		if _, _, err := openBytes(b); err == nil {
			t.Fatalf("a store damaged at %d was taken for new", p)
		}
	}
	t.Logf("%d ends", ends)
}

func openBytes(b []byte) (*Store, bool, error) {
	return open(diskWith(map[string][]byte{fileName: b}))
}
