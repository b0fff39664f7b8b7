package storage

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"os"
	"syscall"
)

// disk is a model of a directory on a disk. The files stay as they are when the
// process is killed. After a power loss a file has the contents of its last sync;
// each later write is independently present, missing or torn. Each directory entry
// may independently be kept or lost until the directory is synced.
type disk struct {
	entries  map[string]*inode
	unsynced map[string][]*inode // inodes of an entry since the last sync of the directory; nil if there was no file

	ops             int
	stopAfter       int  // the process is stopped after this operation; 0 for never
	tearLastWrite   bool // if that operation is a write, only its first half takes effect
	stopped         bool
	fail            func(op string, n int) bool // reports whether operation n fails
	shortWrites     bool                        // the first half of a failed write takes effect
	failedSyncDrops bool                        // writes whose sync failed are not covered by a later sync
	lastOp          string
}

type inode struct{ changes []change }

// change is a write at an offset, or a truncation to size 0.
type change struct {
	offset   int
	b        []byte
	truncate bool
	synced   bool
	dropped  bool // a sync failed, and no later sync covers the change
}

func (c change) apply(data []byte) []byte {
	if c.truncate {
		return nil
	}
	if n := c.offset + len(c.b); n > len(data) {
		data = append(data, make([]byte, n-len(data))...)
	}
	copy(data[c.offset:], c.b)
	return data
}

func (n *inode) data() (b []byte) {
	for _, c := range n.changes {
		b = c.apply(b)
	}
	return b
}

// contentsAfterPowerLoss returns every content that the file may have after a power
// loss, each once.
func (n *inode) contentsAfterPowerLoss() [][]byte {
	all := [][]byte{nil}
	for _, c := range n.changes {
		var next [][]byte
		for _, b := range all {
			next = append(next, c.apply(bytes.Clone(b)))
		}
		if !c.synced {
			for _, b := range all {
				next = append(next, bytes.Clone(b)) // missing
				if c.truncate {
					continue
				}
				for p := 1; p < len(c.b); p += 1 + len(c.b)/24 {
					head, tail, hole := bytes.Clone(c.b), bytes.Clone(c.b), bytes.Clone(c.b)
					clear(head[p:])
					clear(tail[:p])
					clear(hole[p : p+1])
					for _, torn := range [][]byte{c.b[:p], head, tail, hole} {
						next = append(next, change{offset: c.offset, b: torn}.apply(bytes.Clone(b)))
					}
				}
			}
		}
		all = all[:0:0]
		seen := map[string]bool{}
		for _, b := range next {
			if !seen[string(b)] {
				seen[string(b)] = true
				all = append(all, b)
			}
		}
	}
	return all
}

func newDisk() *disk { return &disk{entries: map[string]*inode{}, unsynced: map[string][]*inode{}} }

// newDiskWith returns a disk that contains the given files, all synced.
func newDiskWith(files map[string][]byte) *disk {
	d := newDisk()
	for name, b := range files {
		d.entries[name] = &inode{changes: []change{{b: b, synced: true}}}
	}
	return d
}

var (
	errStopped = errors.New("the process has been stopped")
	hashSeed   = maphash.MakeSeed()
)

// beginOp counts an operation and returns its error. apply reports whether it takes
// effect.
func (d *disk) beginOp(op string) (apply bool, err error) {
	if d.stopped {
		return false, errStopped
	}
	d.ops++
	d.lastOp = op
	if d.fail != nil && d.fail(op, d.ops) {
		err = fmt.Errorf("%s: %w", op, syscall.ENOSPC)
	}
	if d.ops == d.stopAfter {
		d.stopped = true
		return err == nil, errStopped
	}
	return err == nil, err
}

// restart resets the operation count and the faults of the disk for the next process.
func (d *disk) restart() {
	d.stopped, d.ops, d.stopAfter, d.tearLastWrite, d.fail = false, 0, 0, false, nil
}

// link makes a directory entry refer to an inode, or removes it if n is nil.
func (d *disk) link(name string, n *inode) {
	if d.unsynced[name] == nil {
		d.unsynced[name] = []*inode{d.entries[name]}
	}
	d.unsynced[name] = append(d.unsynced[name], n)
	if n == nil {
		delete(d.entries, name)
	} else {
		d.entries[name] = n
	}
}

func (d *disk) ReadFile(name string) ([]byte, error) { // not counted as an operation, because it changes nothing
	if d.stopped {
		return nil, errStopped
	}
	if name != fileName {
		panic("the store reads " + name + ", but afterPowerLoss does not enumerate all of its contents")
	}
	if n := d.entries[name]; n != nil {
		return n.data(), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) Open(name string) (file, error) {
	if d.entries[name] == nil {
		return nil, os.ErrNotExist
	}
	return &openFile{d, d.entries[name]}, nil
}

func (d *disk) Create(name string) (file, error) {
	apply, err := d.beginOp("create")
	if apply {
		if n := d.entries[name]; n != nil {
			n.changes = append(n.changes, change{truncate: true})
		} else {
			d.link(name, &inode{})
		}
	}
	return &openFile{d, d.entries[name]}, err
}

func (d *disk) Rename(from, to string) error {
	apply, err := d.beginOp("rename")
	if apply {
		d.link(to, d.entries[from])
		d.link(from, nil)
	}
	return err
}

func (d *disk) Remove(name string) error {
	apply, err := d.beginOp("remove")
	if apply && d.entries[name] != nil {
		d.link(name, nil)
	}
	return err
}

func (d *disk) SyncDir() error {
	apply, err := d.beginOp("sync directory")
	if apply {
		d.unsynced = map[string][]*inode{}
	}
	return err
}

type openFile struct {
	d *disk
	n *inode
}

func (f *openFile) Write(b []byte) (int, error) {
	apply, err := f.d.beginOp("write")
	if !apply && errors.Is(err, syscall.ENOSPC) && f.d.shortWrites || apply && f.d.stopped && f.d.tearLastWrite {
		b = b[:len(b)/2]
	} else if !apply {
		return 0, err
	}
	f.n.changes = append(f.n.changes, change{offset: len(f.n.data()), b: bytes.Clone(b)})
	return len(b), err
}

func (f *openFile) Sync() error {
	apply, err := f.d.beginOp("sync")
	for i := range f.n.changes {
		c := &f.n.changes[i]
		c.synced = c.synced || apply && !c.dropped
		c.dropped = c.dropped || !apply && !c.synced && f.d.failedSyncDrops && !f.d.stopped
	}
	return err
}

func (f *openFile) Close() error { return nil }

// afterKill returns the files as they are after the process has been killed.
func (d *disk) afterKill() map[string][]byte {
	out := map[string][]byte{}
	for name, n := range d.entries {
		out[name] = n.data()
	}
	return out
}

// possibleContents is contentsAfterPowerLoss, with one empty content for a missing file.
func possibleContents(n *inode) [][]byte {
	if n == nil {
		return [][]byte{nil}
	}
	return n.contentsAfterPowerLoss()
}

// afterPowerLoss yields every state of the directory that a power loss may leave, each
// once.
func (d *disk) afterPowerLoss(yield func(map[string][]byte)) {
	seen := map[uint64]bool{}
	names := []string{fileName, tempFileName}
	var choose func(i int, chosen map[string]*inode)
	choose = func(i int, chosen map[string]*inode) {
		if i < len(names) {
			candidates := d.unsynced[names[i]]
			if candidates == nil {
				candidates = []*inode{d.entries[names[i]]} // nil if there is no file
			}
			for _, n := range candidates {
				chosen[names[i]] = n
				choose(i+1, chosen)
			}
			return
		}
		// The store never reads the temporary file (ReadFile panics if it does), so two
		// contents of that file are sufficient.
		current, temp := chosen[fileName], chosen[tempFileName]
		tempContents := [][]byte{nil}
		if temp != nil && temp != current {
			tempContents = append(tempContents, temp.data())
		}
		for _, b := range possibleContents(current) {
			for _, tb := range tempContents {
				out := map[string][]byte{}
				var h maphash.Hash
				h.SetSeed(hashSeed)
				if current != nil {
					out[fileName] = b
					h.WriteByte(1)
					h.Write(b)
				}
				if temp != nil {
					if temp == current {
						tb = b
					}
					out[tempFileName] = tb
					h.WriteByte(2)
					h.Write(tb)
				}
				if s := h.Sum64(); !seen[s] {
					seen[s] = true
					yield(out)
				}
			}
		}
	}
	choose(0, map[string]*inode{})
}
