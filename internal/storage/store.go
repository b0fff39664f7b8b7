// Package storage is a small durable key-value store over buntdb: a log that is compacted.
// It keeps what must outlast the process.
//
// buntdb holds the values, reads the file and writes its compaction. What it
// would do with the file by itself it does not do here: it drops the error of its
// sync, panics when a write fails and its undoing too, cannot open a file whose
// last, unsynced write was torn in its middle, and does not sync the folder after
// it has rewritten its file. So a commit is one record with a checksum, appended
// and synced by us through a port that tests can stop and fail.
//
// What holds:
//
//   - Put returns nil only once the value is synced under a name that is synced.
//     From then on every opening shows it or a later one, whatever kills and
//     losses of power came between.
//   - After a Put that failed the old value stands in this life, and the store is
//     sick: it takes nothing until Recover has written the acknowledged values, and
//     only those, into a new file. Until then a restart may show the value whose
//     Put failed; it is then as good as one whose Put was under way at a kill.
//     Once Recover has returned nil it never shows.
//   - What Open shows is durable before it returns: nobody learns from this
//     machine what a loss of power would take back.
//   - Open refuses a file that no kill or loss of power could have left, instead
//     of making an empty store of it: a machine would forget its promises.
//   - The file is at most constants.StoreCompactAt or StoreCompactTimes the live
//     state, whichever is more, and one record; beside it stands, while it is
//     compacted, one of the size of the live state. Values are in memory once.
//
// Not promised: anything after a disk lost or changed what it had synced, but
// that a record that fails its checksum is never shown. Damage to the very last
// record looks like a torn write, and the value before it is shown.
package storage

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/tidwall/buntdb"

	"slateridge/internal/constants"
)

// ErrWriteFailed is returned once the disk has failed a write; the store takes no
// more until Recover has succeeded.
var ErrWriteFailed = errors.New("disk refused a write")

// Store is the store: one value per key, replaced whole.
type Store struct {
	fs             fileSystem // nil: nothing outlasts the process
	db             *buntdb.DB // the acknowledged values, sealed; in memory
	file           file       // the log; nil if there never was a good one in this life
	size           int64      // of the log
	liveSize       int64      // of it what is not replaced
	compactFloor   int64      // size up to which it is not compacted; tests make it small
	compactRetryAt int64      // size at which a compaction that failed is tried again
	failed         bool
}

const (
	fileName = "slateridge.db"
	newName  = fileName + ".new" // a compacted file before it has its name
)

// Open reads the store in a folder, or makes it. New says it held nothing. On a
// disk that takes no new file an existing store opens as failed.
func Open(dir string) (c *Store, isNew bool, err error) {
	c, isNew, err = open(folder(dir))
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", folder(dir).path(fileName), err)
	}
	return c, isNew, nil
}

func open(fs fileSystem) (c *Store, isNew bool, err error) {
	b, err := fs.ReadFile(fileName)
	exists := err == nil
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, false, err
	}
	from, to, headed, err := inspect(b)
	if err != nil {
		return nil, false, err
	}
	c = NewInMemory()
	c.fs = fs
	if err := c.db.Load(bytes.NewReader(b[from:to])); err != nil {
		c.Close()
		return nil, false, err
	}
	if !headed {
		c.reseal()
	}
	// Every opening writes the file anew. So what was read is durable also if the
	// life before was killed ahead of its sync, or its sync failed and the next
	// would pass without having written anything; and a torn end is gone.
	if err := c.compact(); err != nil {
		c.failed = true
		if !exists {
			c.Close()
			return nil, false, err
		}
		if err := c.syncInPlace(); err != nil {
			c.Close()
			return nil, false, err
		}
	}
	return c, c.empty(), nil
}

// NewInMemory is a store for a machine without a disk.
func NewInMemory() *Store {
	db, err := buntdb.Open(":memory:")
	if err != nil {
		panic(fmt.Sprintf("storage: no store in memory: %v", err)) // opens no file
	}
	return &Store{db: db, compactFloor: constants.StoreCompactAt}
}

// reseal brings values of a file without a header into the present form.
func (c *Store) reseal() {
	vals := map[string]string{}
	c.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, val string) bool {
			if body, ok := checked(val); ok {
				vals[key] = body
			}
			return true
		})
	})
	for key, body := range vals {
		c.set(key, seal(key, body))
	}
}

// set takes a sealed value into memory, and says what it replaced.
func (c *Store) set(key, val string) (old string, replaced bool) {
	err := c.db.Update(func(tx *buntdb.Tx) (err error) {
		old, replaced, err = tx.Set(key, val, nil)
		return err
	})
	if err != nil {
		panic(fmt.Sprintf("storage: the store in memory refused a value: %v", err)) // no file, no index
	}
	return old, replaced
}

func (c *Store) empty() bool {
	n := 0
	c.db.View(func(tx *buntdb.Tx) (err error) {
		n, err = tx.Len()
		return err
	})
	return n == 0
}

// syncInPlace makes what stands under the file's name durable without writing.
func (c *Store) syncInPlace() error {
	f, err := c.fs.Open(fileName)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close(), c.fs.SyncFolder())
}

// Get reads a value into v; false where there is none.
func (c *Store) Get(key string, v any) bool {
	body, ok := "", false
	c.db.View(func(tx *buntdb.Tx) error {
		val, err := tx.Get(key)
		if err == nil {
			body, ok = unseal(key, val)
		}
		return err
	})
	return ok && gob.NewDecoder(strings.NewReader(body)).Decode(v) == nil
}

// Put replaces a value and returns nil once it is synced. After an error the
// value may or may not be on disk, Get gives the old one, and the store is sick
// until Recover.
func (c *Store) Put(key string, v any) error {
	if c.failed {
		return ErrWriteFailed
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(fmt.Sprintf("storage: %s cannot be encoded: %v", key, err)) // a broken invariant: our own type
	}
	b.WriteString(key)
	val := withSum(b.Bytes()) // sealed, without copying a long body more than once
	if c.fs == nil {
		c.set(key, val)
		return nil
	}
	rec := appendRecord(nil, key, val)
	_, err := c.file.Write(rec)
	if err == nil {
		err = c.file.Sync()
	}
	if err != nil {
		c.failed = true
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	old, replaced := c.set(key, val)
	c.size += int64(len(rec))
	c.liveSize += int64(len(rec))
	if replaced {
		c.liveSize -= recordSize(key, old)
	}
	// The value is safe, so a compaction that fails is not this Put's failure. One
	// that has not touched the names is put off; otherwise the store is sick.
	if c.size > max(c.compactFloor, constants.StoreCompactTimes*c.liveSize) && c.size >= c.compactRetryAt {
		if c.compact() != nil {
			c.compactRetryAt = c.size + max(c.liveSize, c.compactFloor/4)
		}
	}
	return nil
}

// Failed says whether the disk has failed.
func (c *Store) Failed() bool { return c.failed }

// Recover tries the disk again, by writing what was acknowledged into a new file.
func (c *Store) Recover() error {
	if !c.failed {
		return nil
	}
	return c.compact()
}

// compact puts the current values, and only those, into a new file, which takes
// the old one's place. Until it is given the name the old one stands untouched.
func (c *Store) compact() error {
	f, err := c.fs.Create(newName)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	w := &counter{to: f}
	if _, err = w.Write(header()); err == nil {
		err = c.db.Save(w)
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		c.fs.Remove(newName) // gives its space back, if it can; the next one is written over it
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	c.failed = true // from here on either file may be the one that the next life finds
	if err = c.fs.Rename(newName, fileName); err == nil {
		err = c.fs.SyncFolder()
	}
	if err != nil {
		f.Close()
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	if c.file != nil {
		c.file.Close()
	}
	c.file, c.size, c.liveSize, c.compactRetryAt, c.failed = f, w.n, w.n, 0, false
	return nil
}

// counter counts what goes through.
type counter struct {
	to io.Writer
	n  int64
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.to.Write(b)
	c.n += int64(n)
	return n, err
}

// Close releases the files.
func (c *Store) Close() {
	if c.file != nil {
		c.file.Close()
	}
	c.db.Close()
}
