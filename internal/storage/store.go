// Package storage implements a small durable key-value store on top of buntdb: an
// append-only log that is compacted. It keeps the state that must survive a restart
// of the process.
//
// buntdb holds the values in memory, parses the file and writes the records of a
// compaction. The rest of its file handling is not used: it ignores the error of
// its sync, panics when a write fails and cannot be undone either, cannot open a
// file whose last, unsynced write was torn in the middle, and does not sync the
// directory after it has rewritten its file. Instead, Put appends one checksummed
// record and syncs it through an interface that tests can stop and fail.
//
// Guarantees:
//
//   - Put returns nil only once the value is synced in a file whose name is synced.
//     From then on every Open returns this value or a later one, whatever crashes
//     and power losses happen in between.
//   - After a failed Put, Get returns the old value until the process ends, and the
//     store has failed: it accepts no writes until Recover has written the
//     acknowledged values, and only those, into a new file. Until then a restart may
//     return the value whose Put failed, like one whose Put was in progress when the
//     process was killed. Once Recover has returned nil it is never returned.
//   - The values that Open finds are durable before it returns, so that no peer
//     learns anything from this machine that a power loss would undo.
//   - Open rejects a file that no crash or power loss could have left, instead of
//     starting with an empty store: the machine would forget its promises.
//   - The size of the file is at most constants.StoreCompactMinBytes or StoreCompactFactor
//     the size of the live state, whichever is larger, plus one record. During a
//     compaction there is a second file of the size of the live state. Values are
//     held in memory once.
//
// Nothing is guaranteed after a disk has lost or changed synced data, except that a
// record with a wrong checksum is never returned. Damage to the last record looks
// like a torn write, and the previous value is returned.
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

// ErrWriteFailed is returned once the disk has failed a write. The store accepts no
// writes until Recover has succeeded.
var ErrWriteFailed = errors.New("write to disk failed")

// Store is a key-value store. A Put replaces the whole value of a key.
type Store struct {
	fs               fileSystem // nil for a store in memory only
	db               *buntdb.DB // the acknowledged values with their checksums, in memory
	file             file       // the log; nil if this process has not written a complete one yet
	size             int64      // of the log in bytes
	liveSize         int64      // bytes of the log that have not been superseded
	compactMinSize   int64      // the log is not compacted up to this size; tests lower it
	compactRetrySize int64      // log size at which a failed compaction is retried
	failed           bool
}

const (
	fileName     = "slateridge.db"
	tempFileName = fileName + ".new" // a compacted file before it is renamed
)

// Open opens the store in a directory, or creates it. isNew reports whether it
// holds no values. If no new file can be written, an existing store opens in the
// failed state.
func Open(dir string) (s *Store, isNew bool, err error) {
	s, isNew, err = open(directory(dir))
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", directory(dir).path(fileName), err)
	}
	return s, isNew, nil
}

func open(fs fileSystem) (s *Store, isNew bool, err error) {
	b, err := fs.ReadFile(fileName)
	exists := err == nil
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, false, err
	}
	start, end, hasHeader, err := inspect(b)
	if err != nil {
		return nil, false, err
	}
	s = NewInMemory()
	s.fs = fs
	if err := s.db.Load(bytes.NewReader(b[start:end])); err != nil {
		s.Close()
		return nil, false, err
	}
	if !hasHeader {
		s.upgradeValues()
	}
	// Rewrite the file on every start. This makes the values durable even if the
	// previous process was killed before its sync, or if its sync failed and a later
	// one would succeed without having written anything. It also removes a torn end.
	if err := s.compact(); err != nil {
		s.failed = true
		if !exists {
			s.Close()
			return nil, false, err
		}
		if err := s.syncInPlace(); err != nil {
			s.Close()
			return nil, false, err
		}
	}
	return s, s.empty(), nil
}

// NewInMemory returns a store for a machine without a disk. Nothing in it survives
// the process.
func NewInMemory() *Store {
	db, err := buntdb.Open(":memory:")
	if err != nil {
		panic(fmt.Sprintf("storage: opening the in-memory database: %v", err)) // cannot happen: it opens no file
	}
	return &Store{db: db, compactMinSize: constants.StoreCompactMinBytes}
}

// upgradeValues converts the values of a file without a header to the current
// format.
func (s *Store) upgradeValues() {
	vals := map[string]string{}
	s.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, val string) bool {
			if body, ok := verifyChecksum(val); ok {
				vals[key] = body
			}
			return true
		})
	})
	for key, body := range vals {
		s.set(key, encodeValue(key, body))
	}
}

// set stores an encoded value in memory and returns the one it replaced.
func (s *Store) set(key, val string) (old string, replaced bool) {
	err := s.db.Update(func(tx *buntdb.Tx) (err error) {
		old, replaced, err = tx.Set(key, val, nil)
		return err
	})
	if err != nil {
		panic(fmt.Sprintf("storage: setting a value in the in-memory database: %v", err)) // cannot happen: it has no file and no index
	}
	return old, replaced
}

func (s *Store) empty() bool {
	n := 0
	s.db.View(func(tx *buntdb.Tx) (err error) {
		n, err = tx.Len()
		return err
	})
	return n == 0
}

// syncInPlace makes the existing file durable without writing to it.
func (s *Store) syncInPlace() error {
	f, err := s.fs.Open(fileName)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close(), s.fs.SyncDir())
}

// Get decodes the value of key into v. It reports false if there is none.
func (s *Store) Get(key string, v any) bool {
	body, ok := "", false
	s.db.View(func(tx *buntdb.Tx) error {
		val, err := tx.Get(key)
		if err == nil {
			body, ok = decodeValue(key, val)
		}
		return err
	})
	return ok && gob.NewDecoder(strings.NewReader(body)).Decode(v) == nil
}

// Put sets the value of key and returns nil once it is synced. After an error the
// value may or may not be on disk, Get returns the old one, and the store has failed
// until Recover succeeds.
func (s *Store) Put(key string, v any) error {
	if s.failed {
		return ErrWriteFailed
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(fmt.Sprintf("storage: encoding the value of %s: %v", key, err)) // a programming error: all stored types are our own
	}
	b.WriteString(key)
	val := prependChecksum(b.Bytes()) // like encodeValue, but copies a long body only once
	if s.fs == nil {
		s.set(key, val)
		return nil
	}
	rec := appendRecord(nil, key, val)
	_, err := s.file.Write(rec)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		s.failed = true
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	old, replaced := s.set(key, val)
	s.size += int64(len(rec))
	s.liveSize += int64(len(rec))
	if replaced {
		s.liveSize -= recordSize(key, old)
	}
	// The value is durable, so a failed compaction does not fail this Put. One that
	// failed before the rename is retried later; after that point the store has failed.
	if s.size > max(s.compactMinSize, constants.StoreCompactFactor*s.liveSize) && s.size >= s.compactRetrySize {
		if s.compact() != nil {
			s.compactRetrySize = s.size + max(s.liveSize, s.compactMinSize/4)
		}
	}
	return nil
}

// Failed reports whether a write to disk has failed and Recover has not succeeded
// since.
func (s *Store) Failed() bool { return s.failed }

// Recover retries the disk after a failure by writing the acknowledged values into
// a new file.
func (s *Store) Recover() error {
	if !s.failed {
		return nil
	}
	return s.compact()
}

// compact writes the current values, and only those, into a new file that replaces
// the old one. The old file is not touched before the rename.
func (s *Store) compact() error {
	f, err := s.fs.Create(tempFileName)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	w := &countingWriter{w: f}
	if _, err = w.Write(header()); err == nil {
		err = s.db.Save(w)
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		s.fs.Remove(tempFileName) // frees the space if possible; the next compaction truncates the file anyway
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	s.failed = true // until the rename is durable, a restart may find either file
	if err = s.fs.Rename(tempFileName, fileName); err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		return fmt.Errorf("%w: %v", ErrWriteFailed, err)
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.size, s.liveSize, s.compactRetrySize, s.failed = f, w.n, w.n, 0, false
	return nil
}

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w io.Writer
	n int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += int64(n)
	return n, err
}

// Close closes the log file and the in-memory database.
func (s *Store) Close() {
	if s.file != nil {
		s.file.Close()
	}
	s.db.Close()
}
