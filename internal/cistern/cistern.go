// Package cistern keeps what must outlast the process; in the field's terms: a
// small durable store over buntdb with each commit synced and checked.
//
// buntdb itself drops the error of its sync, cannot open a file whose last,
// unsynced write was torn in its middle, and does not sync the folder after it
// rewrites its file. So a commit here is one record with a checksum under a
// fresh key, followed by a sync of our own on the same file whose error counts;
// a file that cannot be read whole is cut back to its last whole record, which
// can only be one that was never acknowledged; and the file is rewritten by
// us, as a new one that is synced and renamed, followed by a sync of the
// folder.
package cistern

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/tidwall/buntdb"

	"slateridge/internal/datum"
)

// ErrSick is returned once the disk has failed a write; the store takes no
// more until Mend has succeeded.
var ErrSick = errors.New("disk refused a write")

// Cistern is the store: one value per key, replaced whole.
type Cistern struct {
	dir  string // empty: nothing outlasts the process
	db   *buntdb.DB
	f    *os.File // the same file, for syncs whose outcome we see
	sick bool
	vals map[string]string
}

const fileName = "slateridge.db"

// Open reads the store in a folder, or makes it. New says it held nothing.
func Open(dir string) (c *Cistern, isNew bool, err error) {
	path := filepath.Join(dir, fileName)
	os.Remove(path + ".new")
	os.Remove(path + ".tmp")
	if err := cutTorn(path); err != nil {
		return nil, false, err
	}
	c = &Cistern{dir: dir, vals: map[string]string{}}
	if err := c.open(); err != nil {
		return nil, false, err
	}
	err = c.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys("*", func(k, v string) bool {
			if body, ok := unseal(v); ok {
				c.vals[k] = body
			}
			return true
		})
	})
	if err != nil {
		return nil, false, err
	}
	return c, len(c.vals) == 0, nil
}

// Volatile is a store for a machine without a disk.
func Volatile() *Cistern { return &Cistern{vals: map[string]string{}} }

func (c *Cistern) open() error {
	path := filepath.Join(c.dir, fileName)
	_, statErr := os.Stat(path)
	db, err := buntdb.Open(path)
	if err != nil {
		return err
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		db.Close()
		return err
	}
	// The folder is synced at every opening: a life that was killed between the
	// renaming of a rewritten file and the sync of the folder leaves a name that
	// a loss of power would undo, and with it all that is promised from now on.
	err = syncDir(c.dir)
	if statErr != nil {
		err = errors.Join(f.Sync(), err)
	}
	if err != nil {
		f.Close()
		db.Close()
		return err
	}
	c.db, c.f = db, f
	return nil
}

// syncDir makes names in a folder last; tests count its calls and fail it.
var syncDir = func(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func seal(body string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16) + " " + body
}

func unseal(v string) (string, bool) {
	sum, body, ok := strings.Cut(v, " ")
	if !ok {
		return "", false
	}
	n, err := strconv.ParseUint(sum, 16, 32)
	return body, err == nil && uint32(n) == crc32.ChecksumIEEE([]byte(body))
}

// cutTorn shortens the file to its leading whole records. A sync covers all
// before it, so what follows the first record that cannot be read, or whose
// checksum is wrong, was never acknowledged.
func cutTorn(path string) error {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	good := wholeRecords(b)
	if good == len(b) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	return errors.Join(f.Truncate(int64(good)), f.Sync())
}

// wholeRecords is the length of the leading run of "set key value" commands in
// buntdb's append-only file whose values pass their checksum.
func wholeRecords(b []byte) int {
	pos := 0
	for pos < len(b) {
		p := pos
		number := func(mark byte) (int, bool) {
			nl := bytes.Index(b[p:], []byte("\r\n"))
			if nl < 2 || nl > 12 || b[p] != mark {
				return 0, false
			}
			n, err := strconv.Atoi(string(b[p+1 : p+nl]))
			p += nl + 2
			return n, err == nil && n >= 0 && n <= len(b)
		}
		n, ok := number('*')
		if !ok || n != 3 {
			return pos
		}
		var part []byte
		for range 3 {
			l, ok := number('$')
			if !ok || p+l+2 > len(b) || b[p+l] != '\r' || b[p+l+1] != '\n' {
				return pos
			}
			part = b[p : p+l]
			p += l + 2
		}
		if _, ok := unseal(string(part)); !ok {
			return pos
		}
		pos = p
	}
	return pos
}

// Get reads a value into v; false where there is none.
func (c *Cistern) Get(key string, v any) bool {
	s, ok := c.vals[key]
	return ok && gob.NewDecoder(strings.NewReader(s)).Decode(v) == nil
}

// Put replaces a value and returns once it is synced. After an error the value
// may or may not be on disk, and the store is sick until Mend.
func (c *Cistern) Put(key string, v any) error {
	if c.sick {
		return ErrSick
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(fmt.Sprintf("cistern: %s cannot be encoded: %v", key, err)) // a broken invariant: our own type
	}
	body := b.String()
	if c.dir == "" {
		c.vals[key] = body
		return nil
	}
	err := c.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, seal(body), nil)
		return err
	})
	if err == nil {
		err = c.f.Sync()
	}
	if err != nil {
		c.sick = true
		return fmt.Errorf("%w: %v", ErrSick, err)
	}
	c.vals[key] = body
	if fi, err := c.f.Stat(); err == nil && fi.Size() > datum.StoreShrinkAt {
		return c.rewrite()
	}
	return nil
}

// Sick says whether the disk has failed.
func (c *Cistern) Sick() bool { return c.sick }

// Mend tries the disk again, by rewriting the store from what was acknowledged.
func (c *Cistern) Mend() error {
	if !c.sick {
		return nil
	}
	return c.rewrite()
}

// rewrite puts the current values, and only those, into a new file.
func (c *Cistern) rewrite() error {
	c.sick = true
	path := filepath.Join(c.dir, fileName)
	var out bytes.Buffer
	for k, body := range c.vals {
		v := seal(body)
		fmt.Fprintf(&out, "*3\r\n$3\r\nset\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(k), k, len(v), v)
	}
	f, err := os.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("%w: %v", ErrSick, err)
	}
	_, werr := f.Write(out.Bytes())
	if err := errors.Join(werr, f.Sync(), f.Close()); err != nil {
		os.Remove(path + ".new")
		return fmt.Errorf("%w: %v", ErrSick, err)
	}
	if err := errors.Join(os.Rename(path+".new", path), syncDir(c.dir)); err != nil {
		return fmt.Errorf("%w: %v", ErrSick, err)
	}
	c.f.Close()
	c.db.Close()
	if err := c.open(); err != nil {
		return fmt.Errorf("%w: %v", ErrSick, err)
	}
	c.sick = false
	return nil
}

// Close releases the files.
func (c *Cistern) Close() {
	if c.dir != "" {
		c.f.Close()
		c.db.Close()
	}
}
