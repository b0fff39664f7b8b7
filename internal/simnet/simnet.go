// Package simnet provides a seeded simulation of a network, a clock and a disk for tests of
// deterministic state machines.
package simnet

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"time"
)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Network runs events in the order of simulated time.
type Network struct {
	Rng   *rand.Rand
	Now   time.Duration
	Loss  float64       // fraction of messages lost
	Delay time.Duration // maximum random part of a message's delay; Delay/20 is added to it
	queue events
	seq   uint64
	cut   map[[2]string]bool
}

// New returns a network whose run is determined by its seed.
func New(seed uint64) *Network {
	return &Network{Rng: rand.New(rand.NewPCG(seed, 7)), Delay: 20 * time.Millisecond, cut: map[[2]string]bool{}}
}

// After runs do after d.
func (n *Network) After(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.queue, event{n.Now + d, n.seq, do})
}

// Send delivers a message after a random delay, unless it is lost or the path is cut when it is
// sent or when it arrives.
func (n *Network) Send(from, to string, deliver func()) {
	if n.cut[[2]string{from, to}] || n.Rng.Float64() < n.Loss {
		return
	}
	d := n.Delay/20 + time.Duration(n.Rng.Int64N(int64(n.Delay)))
	n.After(d, func() {
		if !n.cut[[2]string{from, to}] {
			deliver()
		}
	})
}

// Cut cuts or restores the path in one direction between two machines.
func (n *Network) Cut(from, to string, cut bool) { n.cut[[2]string{from, to}] = cut }

// Run processes events in order up to the time until and calls check after each.
func (n *Network) Run(until time.Duration, check func()) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.Now = e.at
		e.do()
		if check != nil {
			check()
		}
	}
	n.Now = until
}

// Disk is an in-memory key-value store that can simulate failed writes.
type Disk struct {
	vals         map[string][]byte
	RefuseWrites bool // writes fail
	MaxKeys      int  // if not 0, writes fail once the disk holds this many keys
	failed       bool
}

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{vals: map[string][]byte{}} }

var errRefused = errors.New("refused")

// Get decodes a value into v and reports whether it was found.
func (d *Disk) Get(key string, v any) bool {
	b, ok := d.vals[key]
	return ok && gob.NewDecoder(bytes.NewReader(b)).Decode(v) == nil
}

// Put stores a value, or fails as a full or broken disk does. After a failure all writes fail
// until Recover.
func (d *Disk) Put(key string, v any) error {
	if d.RefuseWrites || d.failed || d.MaxKeys > 0 && len(d.vals) >= d.MaxKeys {
		d.failed = true
		return errRefused
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return err
	}
	d.vals[key] = b.Bytes()
	return nil
}

// Failed reports whether a write has failed since the disk was opened.
func (d *Disk) Failed() bool { return d.failed }

// Recover reopens the disk after a failure. It fails while RefuseWrites is set.
func (d *Disk) Recover() error {
	if d.RefuseWrites {
		return errRefused
	}
	d.failed = false
	return nil
}
