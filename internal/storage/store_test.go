package storage

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"slateridge/internal/constants"
)

func mustOpen(t *testing.T, dir string) *Store {
	t.Helper()
	store, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store
}

// After a power loss a file has the contents of its last sync, and any part of a later write
// may be present, missing or torn. Every such file must open with all acknowledged values.
func TestTornTailKeepsSyncedValues(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	store := mustOpen(t, dir)
	for i, v := range []string{"first", "second", strings.Repeat("long ", 300)} {
		if err := store.Put("held", v); err != nil {
			t.Fatal(i, err)
		}
	}
	path := filepath.Join(dir, fileName)
	synced, _ := os.ReadFile(path)
	store.Put("held", strings.Repeat("never acknowledged ", 100))
	written, _ := os.ReadFile(path)
	unsynced := written[len(synced):]
	r := rand.New(rand.NewPCG(3, 3))
	for i := range 300 {
		tail := bytes.Clone(unsynced[:r.IntN(len(unsynced)+1)])
		switch i % 3 {
		case 1: // some bytes are zero
			if len(tail) > 0 {
				from := r.IntN(len(tail))
				clear(tail[from:min(len(tail), from+1+r.IntN(512))])
			}
		case 2: // the start is zero
			clear(tail[:r.IntN(len(tail)+1)])
		}
		b := append(bytes.Clone(synced), tail...)
		fs := fileSystem(newDiskWith(map[string][]byte{fileName: b}))
		if i%10 < 3 { // three of every ten files in a real directory too, one of each kind
			dir := t.TempDir()
			os.WriteFile(filepath.Join(dir, fileName), b, 0o644)
			checkWritable(t, i, directory(dir))
		}
		checkWritable(t, i, fs)
	}
}

// checkWritable opens a store, which must contain the acknowledged values and accept a
// write.
func checkWritable(t *testing.T, i int, fs fileSystem) {
	t.Helper()
	store, isNew, err := open(fs)
	if err != nil {
		t.Fatalf("file %d does not open: %v", i, err)
	}
	var got string
	if isNew || !store.Get("held", &got) || !strings.HasPrefix(got, "long ") && !strings.HasPrefix(got, "never") {
		t.Fatalf("file %d: the acknowledged value is missing: %q", i, got)
	}
	if err := store.Put("held", "after"); err != nil {
		t.Fatal(err)
	}
	store.Close()
	reopened, _, err := open(fs)
	if err != nil || !reopened.Get("held", &got) || got != "after" {
		t.Fatalf("file %d: a later write was lost: %v, %q", i, err, got)
	}
	reopened.Close()
}

func TestCompactionKeepsAllValues(t *testing.T) {
	dir := t.TempDir()
	store := mustOpen(t, dir)
	store.Put("other", "kept")
	large := strings.Repeat("x", 200<<10)
	for i := range 100 {
		if err := store.Put("held", large+string(rune('a'+i%26))); err != nil {
			t.Fatal(err)
		}
		if fi, _ := os.Stat(filepath.Join(dir, fileName)); fi.Size() > constants.StoreCompactMinBytes+1<<20 {
			t.Fatalf("the file has grown to %d bytes", fi.Size())
		}
	}
	store.Close()
	var held, other string
	if store := mustOpen(t, dir); !store.Get("held", &held) || !store.Get("other", &other) || held != large+string(rune('a'+99%26)) || other != "kept" {
		t.Fatal("values are missing after compactions")
	}
}

// A failed sync fails the Put, and later writes fail until Recover succeeds.
func TestFailedSyncFailsTheStore(t *testing.T) {
	store := mustOpen(t, t.TempDir())
	store.Put("held", "good")
	store.file.Close() // the next sync fails
	if err := store.Put("held", "lost"); !errors.Is(err, ErrWriteFailed) {
		t.Fatalf("Put with a failed sync returned %v", err)
	}
	if err := store.Put("other", "x"); !errors.Is(err, ErrWriteFailed) {
		t.Fatalf("Put on a failed store returned %v", err)
	}
	if err := store.Recover(); err != nil {
		t.Fatal(err)
	}
	var got string
	if !store.Get("held", &got) || got != "good" {
		t.Fatalf("after Recover the value is %q", got)
	}
	if err := store.Put("held", "better"); err != nil {
		t.Fatal(err)
	}
}

// dirSyncRecorder is a real directory whose syncs are counted and can fail.
type dirSyncRecorder struct {
	directory
	err   error
	calls int
}

func (d *dirSyncRecorder) SyncDir() error {
	d.calls++
	if d.err != nil {
		return d.err
	}
	return d.directory.SyncDir()
}

// A process that is killed between the rename of a compacted file and the sync of the
// directory leaves a rename that a power loss would undo. The next process must sync the
// directory before it acknowledges anything.
func TestOpenSyncsDirectoryAfterInterruptedCompaction(t *testing.T) {
	fs := &dirSyncRecorder{directory: directory(t.TempDir())}
	store, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.Put("held", "old")
	fs.err = errors.New("killed here")
	if store.compact() == nil {
		t.Fatal("a compaction succeeded although the directory sync failed")
	}
	fs.err, fs.calls = nil, 0
	store, _, err = open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if fs.calls == 0 {
		t.Fatal("Open did not sync the directory")
	}
	var got string
	if !store.Get("held", &got) || got != "old" {
		t.Fatalf("the value is %q", got)
	}
}
