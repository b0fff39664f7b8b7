package storage

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"slateridge/internal/constants"
)

// document returns a configuration document with the given number of routes; 1,000 routes
// are about 300 KB.
func document(routes, version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"configVersion":"r%d","resourceList":[`, version)
	for i := range routes {
		timeout := 1000
		if i == version%routes {
			timeout += version
		}
		fmt.Fprintf(&b, `{"resourceKind":"routes","metadata":{"name":"r%06d"},"spec":{"host":"h%d.example","pathPrefix":"/p%d/","routeType":"idempotent","timeout":"%dms","targetLatency":"300ms","priority":1,"targetService":"svc%04d","maxAttempts":2,"overload":{"share":0.25,"of":"tenant"},"sessions":"none"}},`, i, i%50, i, timeout, i%40)
	}
	return b.String() + "{}]}"
}

// heapSize returns the size of the live heap in bytes.
func heapSize() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// syncSwitch is a real directory whose file syncs can be turned off, because the growth of
// a file does not depend on the speed of the disk.
type syncSwitch struct {
	directory
	sync bool
}

type syncSwitchFile struct {
	file
	d *syncSwitch
}

func (d *syncSwitch) Create(name string) (file, error) {
	f, err := d.directory.Create(name)
	return syncSwitchFile{f, d}, err
}

func (f syncSwitchFile) Sync() error {
	if f.d.sync {
		return f.file.Sync()
	}
	return nil
}

// During 1,000 changes of a configuration with 1,000 routes the file never exceeds the
// bound that the package documents, and the heap stays within the live state plus a
// quarter of it and a constant.
func TestGrowthIsBoundedOver1000Changes(t *testing.T) {
	dir := t.TempDir()
	docs := [2]string{document(1000, 1), document(1000, 2)}
	type config struct {
		Version int
		Raw     string
	}
	base := heapSize()
	fs := &syncSwitch{directory: directory(dir), sync: true}
	store, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	var maxSize, maxHeap, written int64
	var longest, total time.Duration
	const synced = 30 // changes that are timed with real syncs
	for v := range 1000 {
		fs.sync = v < synced
		sizeBefore := store.size
		start := time.Now()
		if err := store.Put(fmt.Sprintf("raw%d", v%2), config{v, docs[v%2]}); err != nil {
			t.Fatal(err)
		}
		if err := store.Put("held", v); err != nil {
			t.Fatal(err)
		}
		if fs.sync {
			longest = max(longest, time.Since(start))
			total += time.Since(start)
		}
		if store.size < sizeBefore {
			written += store.liveSize
		}
		fi, err := os.Stat(filepath.Join(dir, fileName))
		if err != nil || fi.Size() != store.size {
			t.Fatalf("the file has %v bytes, but the store counted %d: %v", fi.Size(), store.size, err)
		}
		maxSize = max(maxSize, store.size)
		if v%100 == 99 {
			maxHeap = max(maxHeap, heapSize()-base)
		}
	}
	rec := int64(len(docs[0])) + 100
	if bound := max(constants.StoreCompactMinBytes, constants.StoreCompactFactor*store.liveSize) + rec; maxSize > bound {
		t.Errorf("the file grew to %d bytes; the bound is %d", maxSize, bound)
	}
	if bound := store.liveSize + store.liveSize/4 + 256<<10; maxHeap > bound {
		t.Errorf("the store uses %d bytes of heap for a live state of %d bytes", maxHeap, store.liveSize)
	}
	t.Logf("document size %d bytes, live state %d, maximum file size %d, maximum heap size %d, %d bytes written by compactions, %v per synced change, at most %v",
		len(docs[0]), store.liveSize, maxSize, maxHeap, written, total/synced, longest)
}

// sizeDisk is a disk that records only how large files are and the number of bytes written.
type sizeDisk struct {
	files          map[string]*sizeFile
	written, peak  int64
	creates, syncs int
}

type sizeFile struct {
	d *sizeDisk
	n int64
}

// total returns the size of all files.
func (d *sizeDisk) total() (sum int64) {
	for _, f := range d.files {
		sum += f.n
	}
	return sum
}

func (d *sizeDisk) ReadFile(string) ([]byte, error) { return nil, os.ErrNotExist }
func (d *sizeDisk) Open(name string) (file, error)  { return d.files[name], nil }
func (d *sizeDisk) Remove(name string) error        { delete(d.files, name); return nil }
func (d *sizeDisk) SyncDir() error                  { return nil }
func (f *sizeFile) Sync() error                     { f.d.syncs++; return nil }
func (f *sizeFile) Close() error                    { return nil }
func (d *sizeDisk) Create(name string) (file, error) {
	d.creates++
	d.files[name] = &sizeFile{d: d}
	return d.files[name], nil
}
func (d *sizeDisk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (f *sizeFile) Write(b []byte) (int, error) {
	f.n += int64(len(b))
	f.d.written += int64(len(b))
	f.d.peak = max(f.d.peak, f.d.total())
	return len(b), nil
}

// For live states below and above the minimum size for a compaction, compactions write at
// most half as many bytes as the puts do, and up to a live state of 12 MiB both files
// together fit on a disk of 64 MiB.
func TestCompactionCostIsBounded(t *testing.T) {
	t.Parallel()
	for _, live := range []int{100 << 10, 1 << 20, 3900 << 10, 5 << 20, 12 << 20} {
		d := &sizeDisk{files: map[string]*sizeFile{}}
		store, _, err := open(d)
		if err != nil {
			t.Fatal(err)
		}
		half := strings.Repeat("x", live/2)
		for i := range 30 {
			store.Put(fmt.Sprintf("raw%d", i%2), half)
			for j := range 10 {
				store.Put("held", i*10+j)
			}
			if bound := max(constants.StoreCompactMinBytes, constants.StoreCompactFactor*store.liveSize) + store.liveSize/2 + 1<<10; d.files[fileName].n > bound {
				t.Fatalf("live state of %d bytes: the file has %d bytes; the bound is %d", store.liveSize, d.files[fileName].n, bound)
			}
		}
		put := 30 * int64(live/2)
		if d.written > put+put/2+int64(live) {
			t.Errorf("live state of %d bytes: %d bytes were put, %d written", live, put, d.written)
		}
		if d.peak > 64<<20 {
			t.Errorf("live state of %d bytes: both files together took %d bytes", live, d.peak)
		}
		t.Logf("live state %d: %d compactions in 330 puts, %.2f bytes written per byte put, at most %d bytes in both files", store.liveSize, d.creates-1, float64(d.written)/float64(put), d.peak)
		store.Close()
	}
}

// The file shrinks when the live state does.
func TestFileShrinksWithTheLiveState(t *testing.T) {
	store := mustOpen(t, t.TempDir())
	store.Put("raw0", strings.Repeat("x", 6<<20))
	store.Put("raw0", "small")
	for i := range 100 {
		store.Put("held", i)
	}
	if store.size > constants.StoreCompactMinBytes || store.liveSize > 1<<10 {
		t.Fatalf("live state of %d bytes in a file of %d bytes", store.liveSize, store.size)
	}
}

// A failed compaction does not fail the Put that triggered it. It is retried, but not at
// every Put, and succeeds once there is space.
func TestFailedCompactionIsRetriedLater(t *testing.T) {
	d := newDisk()
	store, _, err := open(d)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.compactMinSize = 1000
	attempts := 0
	d.fail = func(op string, _ int) bool {
		if op == "create" {
			attempts++
		}
		return op == "create"
	}
	for i := range 100 {
		if err := store.Put("a", fmt.Sprintf("a %d, forty bytes of a value or so, in all", i)); err != nil {
			t.Fatal(err)
		}
	}
	if attempts == 0 || attempts > 40 || store.Failed() {
		t.Fatalf("%d attempts, failed %v", attempts, store.Failed())
	}
	d.fail = nil
	for i := range 10 {
		store.Put("a", fmt.Sprint("b ", i))
	}
	if store.size > 1000 {
		t.Fatalf("the file has %d bytes although there is space again", store.size)
	}
}

// appendRecord produces the same encoding as buntdb, and recordSize its length.
func TestRecordEncodingMatchesBuntDB(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		store := NewInMemory()
		key, val := strings.Repeat("k", 1+r.IntN(12)), strings.Repeat("v\r\n", r.IntN(400))
		store.set(key, val)
		var b strings.Builder
		store.db.Save(&b)
		if want := string(appendRecord(nil, key, val)); b.String() != want || recordSize(key, val) != int64(len(want)) {
			t.Fatalf("buntdb wrote %q, appendRecord %q, recordSize is %d", b.String(), want, recordSize(key, val))
		}
		store.Close()
	}
}
