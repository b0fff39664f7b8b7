package storage

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"os"
	"syscall"
)

// disk is a model of one folder on a disk, by the rules of the pages: a process
// that dies leaves files as they were; after a loss of power a file has what its
// last sync covered, of later writes each is there, missing or torn, and each
// name may be kept or lost by itself until its folder is synced.
type disk struct {
	names map[string]*inode
	past  map[string][]*inode // what a name stood for since the folder's last sync; nil is nothing

	ops      int
	stopAt   int  // the process ends right after this operation, 0 never
	cut      bool // and if that is a write, in its middle
	stopped  bool
	refuse   func(op string, n int) bool // a disk that refuses
	short    bool                        // a refused write leaves half of itself
	forgets  bool                        // a sync that failed is not made up for by the next one
	lastKind string
}

type inode struct{ changes []change }

// change is a write at a place, or with no bytes a shortening to nothing.
type change struct {
	at     int
	b      []byte
	clear  bool
	synced bool
	doubt  bool // its sync failed, and no later one covers it
}

func (c change) apply(data []byte) []byte {
	if c.clear {
		return nil
	}
	if n := c.at + len(c.b); n > len(data) {
		data = append(data, make([]byte, n-len(data))...)
	}
	copy(data[c.at:], c.b)
	return data
}

func (n *inode) data() (b []byte) {
	for _, c := range n.changes {
		b = c.apply(b)
	}
	return b
}

// contents is every content a file may have after a loss of power.
func (n *inode) contents() [][]byte {
	all := [][]byte{nil}
	for _, c := range n.changes {
		var next [][]byte
		for _, b := range all {
			next = append(next, c.apply(bytes.Clone(b)))
		}
		if !c.synced {
			for _, b := range all {
				next = append(next, bytes.Clone(b)) // missing
				if c.clear {
					continue
				}
				for p := 1; p < len(c.b); p += 1 + len(c.b)/24 {
					head, tail, hole := bytes.Clone(c.b), bytes.Clone(c.b), bytes.Clone(c.b)
					clear(head[p:])
					clear(tail[:p])
					clear(hole[p : p+1])
					for _, torn := range [][]byte{c.b[:p], head, tail, hole} {
						next = append(next, change{at: c.at, b: torn}.apply(bytes.Clone(b)))
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

func newDisk() *disk { return &disk{names: map[string]*inode{}, past: map[string][]*inode{}} }

// diskWith is one at rest with these files.
func diskWith(files map[string][]byte) *disk {
	d := newDisk()
	for name, b := range files {
		d.names[name] = &inode{changes: []change{{b: b, synced: true}}}
	}
	return d
}

var (
	errStopped = errors.New("the process has ended")
	seedOfHash = maphash.MakeSeed()
)

// step begins an operation: do says whether it has its effect.
func (d *disk) step(op string) (do bool, err error) {
	if d.stopped {
		return false, errStopped
	}
	d.ops++
	d.lastKind = op
	if d.refuse != nil && d.refuse(op, d.ops) {
		err = fmt.Errorf("%s: %w", op, syscall.ENOSPC)
	}
	if d.ops == d.stopAt {
		d.stopped = true
		return err == nil, errStopped
	}
	return err == nil, err
}

// revive is the same disk for the next process.
func (d *disk) revive() { d.stopped, d.ops, d.stopAt, d.cut, d.refuse = false, 0, 0, false, nil }

func (d *disk) bind(name string, n *inode) {
	if d.past[name] == nil {
		d.past[name] = []*inode{d.names[name]}
	}
	d.past[name] = append(d.past[name], n)
	if n == nil {
		delete(d.names, name)
	} else {
		d.names[name] = n
	}
}

func (d *disk) ReadFile(name string) ([]byte, error) { // changes nothing, so no step
	if d.stopped {
		return nil, errStopped
	}
	if name != fileName {
		panic("the store reads " + name + ", of which powerLost gives not every content")
	}
	if n := d.names[name]; n != nil {
		return n.data(), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) Open(name string) (file, error) {
	if d.names[name] == nil {
		return nil, os.ErrNotExist
	}
	return &handle{d, d.names[name]}, nil
}

func (d *disk) Create(name string) (file, error) {
	do, err := d.step("create")
	if do {
		if n := d.names[name]; n != nil {
			n.changes = append(n.changes, change{clear: true})
		} else {
			d.bind(name, &inode{})
		}
	}
	return &handle{d, d.names[name]}, err
}

func (d *disk) Rename(from, to string) error {
	do, err := d.step("rename")
	if do {
		d.bind(to, d.names[from])
		d.bind(from, nil)
	}
	return err
}

func (d *disk) Remove(name string) error {
	do, err := d.step("remove")
	if do && d.names[name] != nil {
		d.bind(name, nil)
	}
	return err
}

func (d *disk) SyncFolder() error {
	do, err := d.step("sync folder")
	if do {
		d.past = map[string][]*inode{}
	}
	return err
}

type handle struct {
	d *disk
	n *inode
}

func (h *handle) Write(b []byte) (int, error) {
	do, err := h.d.step("write")
	if !do && errors.Is(err, syscall.ENOSPC) && h.d.short || do && h.d.stopped && h.d.cut {
		b = b[:len(b)/2]
	} else if !do {
		return 0, err
	}
	h.n.changes = append(h.n.changes, change{at: len(h.n.data()), b: bytes.Clone(b)})
	return len(b), err
}

func (h *handle) Sync() error {
	do, err := h.d.step("sync")
	for i := range h.n.changes {
		c := &h.n.changes[i]
		c.synced = c.synced || do && !c.doubt
		c.doubt = c.doubt || !do && !c.synced && h.d.forgets && !h.d.stopped
	}
	return err
}

func (h *handle) Close() error { return nil }

// killed is the disk as a kill leaves it, at rest.
func (d *disk) killed() map[string][]byte {
	out := map[string][]byte{}
	for name, n := range d.names {
		out[name] = n.data()
	}
	return out
}

// contents of an inode, each once; of a name that stands for nothing, nothing.
func contents(n *inode) [][]byte {
	if n == nil {
		return [][]byte{nil}
	}
	return n.contents()
}

// powerLost yields every state of the folder that a loss of power may leave,
// each once.
func (d *disk) powerLost(yield func(map[string][]byte)) {
	seen := map[uint64]bool{}
	names := []string{fileName, newName}
	var choose func(i int, bound map[string]*inode)
	choose = func(i int, bound map[string]*inode) {
		if i < len(names) {
			may := d.past[names[i]]
			if may == nil {
				may = []*inode{d.names[names[i]]} // nothing where there is none
			}
			for _, n := range may {
				bound[names[i]] = n
				choose(i+1, bound)
			}
			return
		}
		// What stands under the other name is never read (ReadFile sees to it), so
		// of it two contents do.
		inUse, other := bound[fileName], bound[newName]
		rest := [][]byte{nil}
		if other != nil && other != inUse {
			rest = append(rest, other.data())
		}
		for _, b := range contents(inUse) {
			for _, o := range rest {
				out := map[string][]byte{}
				var h maphash.Hash
				h.SetSeed(seedOfHash)
				if inUse != nil {
					out[fileName] = b
					h.WriteByte(1)
					h.Write(b)
				}
				if other != nil {
					if other == inUse {
						o = b
					}
					out[newName] = o
					h.WriteByte(2)
					h.Write(o)
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
