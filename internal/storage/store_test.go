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
	c, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// After a loss of power a file has what its last sync covered; of a later
// write each part is there, missing or torn. Every such end must open with all
// that was acknowledged.
func TestTornTailKeepsWhatWasSynced(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := mustOpen(t, dir)
	for i, v := range []string{"first", "second", strings.Repeat("long ", 300)} {
		if err := c.Put("held", v); err != nil {
			t.Fatal(i, err)
		}
	}
	path := filepath.Join(dir, fileName)
	synced, _ := os.ReadFile(path)
	c.Put("held", strings.Repeat("never acknowledged ", 100))
	whole, _ := os.ReadFile(path)
	later := whole[len(synced):]
	r := rand.New(rand.NewPCG(3, 3))
	for i := range 300 {
		tail := bytes.Clone(later[:r.IntN(len(later)+1)])
		switch i % 3 {
		case 1: // a hole of zeroes
			if len(tail) > 0 {
				from := r.IntN(len(tail))
				clear(tail[from:min(len(tail), from+1+r.IntN(512))])
			}
		case 2: // the end is there, the beginning is not
			clear(tail[:r.IntN(len(tail)+1)])
		}
		end := append(bytes.Clone(synced), tail...)
		d := fileSystem(diskWith(map[string][]byte{fileName: end}))
		if i%10 < 3 { // three ends of each ten in a real folder too: one of each kind
			dir := t.TempDir()
			os.WriteFile(filepath.Join(dir, fileName), end, 0o644)
			writeOn(t, i, folder(dir))
		}
		writeOn(t, i, d)
	}
}

// writeOn opens an end, which must hold what was acknowledged, and goes on.
func writeOn(t *testing.T, i int, d fileSystem) {
	t.Helper()
	c, fresh, err := open(d)
	if err != nil {
		t.Fatalf("end %d does not open: %v", i, err)
	}
	var got string
	if fresh || !c.Get("held", &got) || !strings.HasPrefix(got, "long ") && !strings.HasPrefix(got, "never") {
		t.Fatalf("end %d: what was acknowledged is gone: %q", i, got)
	}
	if err := c.Put("held", "after"); err != nil {
		t.Fatal(err)
	}
	c.Close()
	c2, _, err := open(d)
	if err != nil || !c2.Get("held", &got) || got != "after" {
		t.Fatalf("end %d: writing on after it failed: %v %q", i, err, got)
	}
	c2.Close()
}

func TestRewriteKeepsAllAndStaysSmall(t *testing.T) {
	dir := t.TempDir()
	c := mustOpen(t, dir)
	c.Put("other", "kept")
	big := strings.Repeat("x", 200<<10)
	for i := range 100 {
		if err := c.Put("held", big+string(rune('a'+i%26))); err != nil {
			t.Fatal(err)
		}
		if fi, _ := os.Stat(filepath.Join(dir, fileName)); fi.Size() > constants.StoreCompactAt+1<<20 {
			t.Fatalf("the file has grown to %d bytes", fi.Size())
		}
	}
	c.Close()
	var held, other string
	if c := mustOpen(t, dir); !c.Get("held", &held) || !c.Get("other", &other) || held != big+string(rune('a'+99%26)) || other != "kept" {
		t.Fatal("values are gone after the file was rewritten")
	}
}

// A failed sync must count, and nothing is taken until the disk works again.
func TestFailedSyncIsSeen(t *testing.T) {
	c := mustOpen(t, t.TempDir())
	c.Put("held", "good")
	c.file.Close() // the next sync fails
	if err := c.Put("held", "lost"); !errors.Is(err, ErrWriteFailed) {
		t.Fatalf("a failed sync was taken for a good one: %v", err)
	}
	if err := c.Put("other", "x"); !errors.Is(err, ErrWriteFailed) {
		t.Fatalf("a sick store took a write: %v", err)
	}
	if err := c.Recover(); err != nil {
		t.Fatal(err)
	}
	var got string
	if !c.Get("held", &got) || got != "good" {
		t.Fatalf("after mending: %q", got)
	}
	if err := c.Put("held", "better"); err != nil {
		t.Fatal(err)
	}
}

// folderSyncs is a real folder whose own syncs are counted and can fail.
type folderSyncs struct {
	folder
	err   error
	calls int
}

func (d *folderSyncs) SyncFolder() error {
	d.calls++
	if d.err != nil {
		return d.err
	}
	return d.folder.SyncFolder()
}

// A process killed between the renaming of its rewritten file and the sync of
// the folder leaves a name that a loss of power would undo. The next life must
// sync the folder before it acknowledges anything.
func TestFolderIsSyncedAfterAKillDuringRewrite(t *testing.T) {
	fs := &folderSyncs{folder: folder(t.TempDir())}
	c, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Put("held", "old")
	fs.err = errors.New("killed here")
	if c.compact() == nil {
		t.Fatal("a rewrite whose folder could not be synced passed")
	}
	fs.err, fs.calls = nil, 0
	c, _, err = open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if fs.calls == 0 {
		t.Fatal("the folder was not synced before the first promise")
	}
	var got string
	if !c.Get("held", &got) || got != "old" {
		t.Fatalf("lost: %q", got)
	}
}
