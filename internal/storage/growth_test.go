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

// document is a configuration of some routes, as operators write them; about
// 300 KB at 1,000.
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

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// sometimes is a real folder that syncs only while it is told to: how fast a
// disk is has no part in how much is on it.
type sometimes struct {
	folder
	sync bool
}

type sometimesFile struct {
	file
	d *sometimes
}

func (d *sometimes) Create(name string) (file, error) {
	f, err := d.folder.Create(name)
	return sometimesFile{f, d}, err
}

func (f sometimesFile) Sync() error {
	if f.d.sync {
		return f.file.Sync()
	}
	return nil
}

// 1,000 changes of a configuration of 1,000 routes: the files stay within the
// bound that the package states at every moment, and the heap within the live
// state and a constant.
func TestGrowthIsBoundedOverAThousandChanges(t *testing.T) {
	dir := t.TempDir()
	docs := [2]string{document(1000, 1), document(1000, 2)}
	type rawRef struct {
		Version int
		Raw     string
	}
	base := heap()
	fs := &sometimes{folder: folder(dir), sync: true}
	c, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var most, mostHeap, written int64
	var longest, took time.Duration
	const synced = 30 // changes timed with the disk's own syncs
	for v := range 1000 {
		fs.sync = v < synced
		was := c.size
		at := time.Now()
		if err := c.Put(fmt.Sprintf("raw%d", v%2), rawRef{v, docs[v%2]}); err != nil {
			t.Fatal(err)
		}
		if err := c.Put("held", v); err != nil {
			t.Fatal(err)
		}
		if fs.sync {
			longest = max(longest, time.Since(at))
			took += time.Since(at)
		}
		if c.size < was {
			written += c.liveSize
		}
		fi, err := os.Stat(filepath.Join(dir, fileName))
		if err != nil || fi.Size() != c.size {
			t.Fatalf("the file has %v bytes, counted %d: %v", fi.Size(), c.size, err)
		}
		most = max(most, c.size)
		if v%100 == 99 {
			mostHeap = max(mostHeap, heap()-base)
		}
	}
	rec := int64(len(docs[0])) + 100
	if bound := max(constants.StoreCompactAt, constants.StoreCompactTimes*c.liveSize) + rec; most > bound {
		t.Errorf("the file grew to %d bytes, the bound is %d", most, bound)
	}
	if bound := c.liveSize + c.liveSize/4 + 256<<10; mostHeap > bound {
		t.Errorf("the store holds %d bytes of heap for %d of live state", mostHeap, c.liveSize)
	}
	t.Logf("document %d bytes, live state %d, file at most %d, heap at most %d, %d bytes written for compaction, %v for each synced change, the longest %v",
		len(docs[0]), c.liveSize, most, mostHeap, written, took/synced, longest)
}

// sizes is a disk that keeps only how large files are and how much was written.
type sizes struct {
	names          map[string]*sized
	written, peak  int64
	creates, syncs int
}

type sized struct {
	d *sizes
	n int64
}

func (d *sizes) all() (sum int64) {
	for _, f := range d.names {
		sum += f.n
	}
	return sum
}

func (d *sizes) ReadFile(string) ([]byte, error) { return nil, os.ErrNotExist }
func (d *sizes) Open(name string) (file, error)  { return d.names[name], nil }
func (d *sizes) Remove(name string) error        { delete(d.names, name); return nil }
func (d *sizes) SyncFolder() error               { return nil }
func (f *sized) Sync() error                     { f.d.syncs++; return nil }
func (f *sized) Close() error                    { return nil }
func (d *sizes) Create(name string) (file, error) {
	d.creates++
	d.names[name] = &sized{d: d}
	return d.names[name], nil
}
func (d *sizes) Rename(from, to string) error {
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (f *sized) Write(b []byte) (int, error) {
	f.n += int64(len(b))
	f.d.written += int64(len(b))
	f.d.peak = max(f.d.peak, f.d.all())
	return len(b), nil
}

// The live state nears and passes the size at which a small store is compacted:
// compactions stay rare, what they write stays under half of what is put, and
// both files together fit a disk of 64 MB up to a live state of 12 MiB.
func TestCompactionFollowsTheLiveState(t *testing.T) {
	t.Parallel()
	for _, live := range []int{100 << 10, 1 << 20, 3900 << 10, 5 << 20, 12 << 20} {
		d := &sizes{names: map[string]*sized{}}
		c, _, err := open(d)
		if err != nil {
			t.Fatal(err)
		}
		half := strings.Repeat("x", live/2)
		for i := range 30 {
			c.Put(fmt.Sprintf("raw%d", i%2), half)
			for j := range 10 {
				c.Put("held", i*10+j)
			}
			if bound := max(constants.StoreCompactAt, constants.StoreCompactTimes*c.liveSize) + c.liveSize/2 + 1<<10; d.names[fileName].n > bound {
				t.Fatalf("live state of %d: the file has %d bytes, the bound is %d", c.liveSize, d.names[fileName].n, bound)
			}
		}
		put := 30 * int64(live/2)
		if d.written > put+put/2+int64(live) {
			t.Errorf("live state of %d: %d bytes were put, %d written", live, put, d.written)
		}
		if d.peak > 64<<20 {
			t.Errorf("live state of %d: files of %d bytes together", live, d.peak)
		}
		t.Logf("live state %d: %d compactions in 330 puts, %.2f bytes written for each put, files together at most %d", c.liveSize, d.creates-1, float64(d.written)/float64(put), d.peak)
		c.Close()
	}
}

// A state that shrinks takes its file along.
func TestFileShrinksWithTheLiveState(t *testing.T) {
	c := mustOpen(t, t.TempDir())
	c.Put("raw0", strings.Repeat("x", 6<<20))
	c.Put("raw0", "small")
	for i := range 100 {
		c.Put("held", i)
	}
	if c.size > constants.StoreCompactAt || c.liveSize > 1<<10 {
		t.Fatalf("a live state of %d bytes in a file of %d", c.liveSize, c.size)
	}
}

// A compaction that cannot be made does not fail the Put that was synced; it is
// tried again now and then, not at every put, and made when there is space.
func TestCompactionThatFailsIsPutOff(t *testing.T) {
	d := newDisk()
	c, _, err := open(d)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.compactFloor = 1000
	tries := 0
	d.refuse = func(op string, _ int) bool {
		if op == "create" {
			tries++
		}
		return op == "create"
	}
	for i := range 100 {
		if err := c.Put("a", fmt.Sprintf("a %d, forty bytes of a value or so, in all", i)); err != nil {
			t.Fatal(err)
		}
	}
	if tries == 0 || tries > 40 || c.Failed() {
		t.Fatalf("%d tries, sick %v", tries, c.Failed())
	}
	d.refuse = nil
	for i := range 10 {
		c.Put("a", fmt.Sprint("b ", i))
	}
	if c.size > 1000 {
		t.Fatalf("the file has %d bytes after space was back", c.size)
	}
}

// What is appended by hand is what buntdb writes.
func TestRecordIsBuntdbs(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		c := NewInMemory()
		key, val := strings.Repeat("k", 1+r.IntN(12)), strings.Repeat("v\r\n", r.IntN(400))
		c.set(key, val)
		var b strings.Builder
		c.db.Save(&b)
		if want := string(appendRecord(nil, key, val)); b.String() != want || recordSize(key, val) != int64(len(want)) {
			t.Fatalf("%q is not %q, or not of %d bytes", b.String(), want, recordSize(key, val))
		}
		c.Close()
	}
}
