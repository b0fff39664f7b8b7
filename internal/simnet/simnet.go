// Package simnet is a seeded, simulated network, clock and disk, on which the deterministic
// state machines are tested.
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
	Loss  float64       // share of messages lost
	Delay time.Duration // longest delay of a message; shortest is a twentieth
	queue events
	seq   uint64
	cut   map[[2]string]bool
}

// New makes a network whose run is decided by its seed.
func New(seed uint64) *Network {
	return &Network{Rng: rand.New(rand.NewPCG(seed, 7)), Delay: 20 * time.Millisecond, cut: map[[2]string]bool{}}
}

// After does something later.
func (b *Network) After(d time.Duration, do func()) {
	b.seq++
	heap.Push(&b.queue, event{b.Now + d, b.seq, do})
}

// Send delivers a message after a random delay, unless it is lost or the path
// is cut when it is sent or when it arrives.
func (b *Network) Send(from, to string, deliver func()) {
	if b.cut[[2]string{from, to}] || b.Rng.Float64() < b.Loss {
		return
	}
	d := b.Delay/20 + time.Duration(b.Rng.Int64N(int64(b.Delay)))
	b.After(d, func() {
		if !b.cut[[2]string{from, to}] {
			deliver()
		}
	})
}

// Cut cuts or joins one direction between two machines.
func (b *Network) Cut(from, to string, cut bool) { b.cut[[2]string{from, to}] = cut }

// Run advances to a time, one event after the other, calling check after each.
func (b *Network) Run(until time.Duration, check func()) {
	for len(b.queue) > 0 && b.queue[0].at <= until {
		e := heap.Pop(&b.queue).(event)
		b.Now = e.at
		e.do()
		if check != nil {
			check()
		}
	}
	b.Now = until
}

// Disk is a store that keeps what was put, and can refuse.
type Disk struct {
	vals         map[string][]byte
	RefuseWrites bool
	MaxKeys      int // not 0: writes are refused once so many were taken
	failed       bool
}

// NewDisk makes an empty disk.
func NewDisk() *Disk { return &Disk{vals: map[string][]byte{}} }

var errRefused = errors.New("refused")

// Get reads a value into v, and says whether there was one.
func (d *Disk) Get(key string, v any) bool {
	b, ok := d.vals[key]
	return ok && gob.NewDecoder(bytes.NewReader(b)).Decode(v) == nil
}

// Put keeps a value, or fails as a full or broken disk does; after a failure nothing is
// written until Recover.
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

// Failed says whether a write has failed since the disk was opened.
func (d *Disk) Failed() bool { return d.failed }

// Recover opens the disk anew after a failure, unless it still refuses.
func (d *Disk) Recover() error {
	if d.RefuseWrites {
		return errRefused
	}
	d.failed = false
	return nil
}
