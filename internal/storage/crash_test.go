package storage

import (
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
)

// truth is what the store's user knows: by key the value acknowledged last, and
// those whose Put began after it and has no outcome.
type truth struct {
	acked    map[string]string
	underWay map[string][]string
}

func newTruth() *truth { return &truth{map[string]string{}, map[string][]string{}} }

var keys = []string{"a", "b"}

func get(c *Store, key string) string {
	var s string
	c.Get(key, &s)
	return s
}

// holds says what is wrong with a store that was opened after an end.
func (w *truth) holds(c *Store) error {
	for _, k := range keys {
		if got := get(c, k); got != w.acked[k] && !slices.Contains(w.underWay[k], got) {
			return fmt.Errorf("%s is %q; acknowledged %q, under way %q", k, got, w.acked[k], w.underWay[k])
		}
	}
	return nil
}

// shown takes what an opened store shows for acknowledged: its user acts on it.
func (w *truth) shown(c *Store) {
	for _, k := range keys {
		if s := get(c, k); s != "" {
			w.acked[k] = s
		}
	}
	clear(w.underWay)
}

// user works with a store on a model disk until its process ends.
type user struct {
	t    *testing.T
	d    *disk
	w    *truth
	c    *Store
	what string
}

func (u *user) fail(f string, a ...any) {
	u.t.Helper()
	u.t.Fatalf("%s, at operation %d (%s): %s", u.what, u.d.ops, u.d.lastKind, fmt.Sprintf(f, a...))
}

func (u *user) open() bool {
	c, _, err := open(u.d)
	if u.d.stopped {
		return false
	}
	if err != nil {
		u.fail("does not open: %v", err)
	}
	c.compactFloor = 300 // small enough that puts compact
	u.c = c
	u.w.shown(c)
	return true
}

func (u *user) put(key, val string) error {
	if u.d.stopped {
		return errStopped
	}
	u.w.underWay[key] = append(u.w.underWay[key], val)
	err := u.c.Put(key, val)
	if u.d.stopped {
		return errStopped
	}
	if err == nil {
		u.w.acked[key] = val
		delete(u.w.underWay, key)
	} else if !errors.Is(err, ErrWriteFailed) {
		u.fail("the error is not ErrSick: %v", err)
	}
	if got := get(u.c, key); got != u.w.acked[key] {
		u.fail("in this life %s is %q, acknowledged %q", key, got, u.w.acked[key])
	}
	return err
}

func (u *user) mend() error {
	if u.d.stopped {
		return errStopped
	}
	err := u.c.Recover()
	if err == nil && !u.d.stopped {
		clear(u.w.underWay)
		if u.c.Failed() {
			u.fail("sick after mending")
		}
	}
	return err
}

// script is "put, put, rewrite, put, mend" and what belongs to it: two puts, a
// rewriting, puts that bring one about by themselves, one that the disk refuses
// in the given manner, mending, a put.
func (u *user) script(refused string, short, forgets bool) {
	if !u.open() {
		return
	}
	u.put("a", "a1")
	u.put("b", "b1")
	if !u.d.stopped {
		u.c.compact()
	}
	u.put("a", "a2 longer than the first")
	u.put("b", "b2")
	u.put("b", "b3 which has some length, so that it is soon rewritten")
	if !u.d.stopped {
		u.d.short, u.d.forgets = short, forgets
		u.d.refuse = func(op string, _ int) bool { return op == refused }
		if u.put("a", "a3 refused") == nil {
			u.fail("a put that was refused by the disk was acknowledged")
		}
		u.d.refuse = nil
	}
	u.mend()
	u.put("b", "b4")
}

var refusals = []struct {
	op             string
	short, forgets bool
}{{"write", false, false}, {"write", true, false}, {"sync", false, false}, {"sync", false, true}}

// ends remembers which ends were checked: the same folder with the same truth
// comes up many times.
type ends map[uint64]bool

// opens checks a folder that an end has left: it opens, holds what it must, and
// goes on working.
func (e ends) opens(t *testing.T, what string, files map[string][]byte, w *truth) {
	t.Helper()
	var h maphash.Hash
	h.SetSeed(seedOfHash)
	for _, name := range []string{fileName, newName} {
		b, there := files[name]
		fmt.Fprint(&h, there, len(b))
		h.Write(b)
	}
	for _, k := range keys {
		fmt.Fprintf(&h, "%q %q", w.acked[k], w.underWay[k])
	}
	key := h.Sum64()
	if e[key] {
		return
	}
	e[key] = true
	d := diskWith(files)
	c, _, err := open(d)
	if err != nil {
		t.Fatalf("%s: does not open: %v (%q)", what, err, files)
	}
	defer c.Close()
	if err := w.holds(c); err != nil {
		t.Fatalf("%s: %v (%q)", what, err, files)
	}
	was := get(c, "b")
	if err := c.Put("a", "next"); err != nil {
		t.Fatalf("%s: takes no more: %v", what, err)
	}
	again, _, err := open(d)
	if err != nil || get(again, "a") != "next" || get(again, "b") != was {
		t.Fatalf("%s: writing on was lost: %v", what, err)
	}
	again.Close()
}

// Each sequence is stopped after each single operation on the disk, by a kill
// and by a loss of power with every outcome of the model. Nothing is drawn.
func TestStopAfterEveryOperation(t *testing.T) {
	t.Parallel()
	stops, all, seen := 0, 0, ends{}
	for _, r := range refusals {
		for _, cut := range []bool{false, true} {
			for at := 1; ; at++ {
				u := &user{t: t, d: newDisk(), w: newTruth(), what: fmt.Sprintf("refused %+v, cut %v, stop after %d", r, cut, at)}
				u.d.stopAt, u.d.cut = at, cut
				u.script(r.op, r.short, r.forgets)
				if u.c != nil {
					u.c.Close()
				}
				if !u.d.stopped {
					break
				}
				stops++
				seen.opens(t, u.what+", killed", u.d.killed(), u.w)
				u.d.powerLost(func(files map[string][]byte) {
					all++
					seen.opens(t, u.what+", power lost", files, u.w)
				})
			}
		}
	}
	t.Logf("%d stops, %d ends of a loss of power, %d different", stops, all, len(seen))
	if stops < 200 || all < 10000 {
		t.Fatal("the enumeration has shrunk")
	}
}

// A process is killed after each operation, and the one after it stopped by a
// loss of power after each of its own: what the second has shown to its user
// must stay, though the first never acknowledged it.
func TestSecondLifeStoppedAfterEveryOperation(t *testing.T) {
	t.Parallel()
	stops, all, seen := 0, 0, ends{}
	for _, r := range refusals {
		for first := 1; ; first++ {
			ended := false
			for second := 1; ; second++ {
				u := &user{t: t, d: newDisk(), w: newTruth(), what: fmt.Sprintf("refused %+v, killed after %d, power lost after %d", r, first, second)}
				u.d.stopAt = first
				u.script(r.op, r.short, r.forgets)
				if u.c != nil {
					u.c.Close()
				}
				if ended = !u.d.stopped; ended {
					break
				}
				u.d.revive()
				u.d.stopAt = second
				u.c = nil
				if u.open() {
					u.put("a", "a9")
				}
				if u.c != nil {
					u.c.Close()
				}
				stops++
				u.d.powerLost(func(files map[string][]byte) {
					all++
					seen.opens(t, u.what, files, u.w)
				})
				if !u.d.stopped {
					break
				}
			}
			if ended {
				break
			}
		}
	}
	t.Logf("%d stops, %d ends, %d different", stops, all, len(seen))
	if stops < 1000 || all < 10000 {
		t.Fatal("the enumeration has shrunk")
	}
}

// From each operation on the disk refuses, for one operation or until space is
// back: what Put acknowledged stays through any end at any moment, nothing else
// shows once Recover has succeeded, and Recover succeeds when space is back.
func TestDiskRefusesFromEveryOperationOn(t *testing.T) {
	t.Parallel()
	runs, all, seen := 0, 0, ends{}
	for _, span := range []int{1, 2, 1 << 30} {
		for _, short := range []bool{false, true} {
			for from := 1; ; from++ {
				u := &user{t: t, d: newDisk(), w: newTruth(), what: fmt.Sprintf("refusing %d from operation %d, short %v", span, from, short)}
				u.d.short, u.d.forgets = short, true
				refuse := func(_ string, n int) bool { return n >= from && n-from < span }
				u.d.refuse = refuse
				check := func() {
					seen.opens(t, u.what+", killed", u.d.killed(), u.w)
					u.d.powerLost(func(files map[string][]byte) {
						all++
						seen.opens(t, u.what+", power lost", files, u.w)
					})
				}
				c, _, err := open(u.d)
				if err != nil {
					u.d.refuse = nil // a new store that cannot be made; once there is space it can
					if c, _, err = open(u.d); err != nil {
						u.fail("does not open after space is back: %v", err)
					}
				}
				c.compactFloor = 300
				u.c = c
				for i := range 12 {
					key := keys[i%2]
					err := u.put(key, fmt.Sprintf("%s %d, long enough that some of these make the store compact itself", key, i))
					check()
					if err == nil {
						continue
					}
					if !c.Failed() {
						u.fail("a failed put and no sickness")
					}
					for range 2 {
						if u.mend() != nil && !c.Failed() {
							u.fail("mending failed and the store says it is well")
						}
						check()
					}
					u.d.refuse = nil
					if err := u.mend(); err != nil {
						u.fail("space is back, and mending fails: %v", err)
					}
					check()
				}
				c.Close()
				runs++
				if u.d.ops < from {
					break
				}
			}
		}
	}
	t.Logf("%d runs, %d ends, %d different", runs, all, len(seen))
	if runs < 200 || all < 10000 {
		t.Fatal("the enumeration has shrunk")
	}
}

// A store that exists opens on a disk that refuses all writes, with all that was
// acknowledged, takes nothing, and mends when there is space.
func TestOpensFailedOnAFullDisk(t *testing.T) {
	d := newDisk()
	c, _, _ := open(d)
	c.Put("a", "kept")
	c.Close()
	whole := maps.Clone(d.killed())
	for _, torn := range []string{"", "*3\r\n$3\r\nset\r\n$1"} {
		d = diskWith(map[string][]byte{fileName: append(whole[fileName][:len(whole[fileName]):len(whole[fileName])], torn...)})
		d.refuse = func(op string, _ int) bool { return op == "create" || op == "write" }
		c, fresh, err := open(d)
		if err != nil || fresh || get(c, "a") != "kept" {
			t.Fatalf("full disk: %v, new %v", err, fresh)
		}
		if !c.Failed() || !errors.Is(c.Put("a", "more"), ErrWriteFailed) || c.Recover() == nil {
			t.Fatal("a full disk went unnoticed")
		}
		d.refuse = nil
		if err := c.Recover(); err != nil {
			t.Fatal(err)
		}
		if err := c.Put("a", "more"); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	// If not even a sync passes, nobody knows what is durable, and nothing is shown.
	d = diskWith(whole)
	d.refuse = func(string, int) bool { return true }
	if _, _, err := open(d); err == nil {
		t.Fatal("opened without a sync")
	}
}

// The chain writes a configuration apart, under the one of two keys that the
// state in force does not name, and then the state that names it. Whatever state
// is found after an end, the configuration it names must be there.
func TestNamedConfigurationIsThereAfterEveryStop(t *testing.T) {
	t.Parallel()
	type raw struct {
		Version int
		Raw     string
	}
	raws := []string{"raw0", "raw1"}
	life := func(u *user, fail string, failAt int) {
		c, _, err := open(u.d)
		if err != nil || u.d.stopped {
			return
		}
		defer c.Close()
		c.compactFloor = 500
		held, known := 0, [2]int{}
		for v := 1; v <= 5; v++ {
			if v == failAt {
				u.d.refuse = func(op string, _ int) bool { return op == fail }
			}
			i := 0
			if held > 0 && known[0] == held {
				i = 1
			}
			switch {
			case c.Put(raws[i], raw{v, fmt.Sprint("configuration ", v)}) != nil:
				known[i] = 0
			default:
				known[i] = v
				if c.Put("held", v) == nil {
					held = v
				}
			}
			if u.d.stopped {
				return
			}
			u.d.refuse = nil
			c.Recover()
			if !u.d.stopped {
				u.w.acked["held"] = fmt.Sprint(held)
			}
		}
	}
	seen := map[string]bool{}
	check := func(what string, files map[string][]byte, w *truth) {
		t.Helper()
		key := w.acked["held"] + string(files[fileName])
		if seen[key] {
			return
		}
		seen[key] = true
		c, _, err := open(diskWith(files))
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		defer c.Close()
		held := 0
		if !c.Get("held", &held) {
			if w.acked["held"] != "" && w.acked["held"] != "0" {
				t.Fatalf("%s: the state is gone", what)
			}
			return
		}
		for _, k := range raws {
			var r raw
			if c.Get(k, &r) && r.Version == held && r.Raw == fmt.Sprint("configuration ", held) {
				return
			}
		}
		t.Fatalf("%s: state %d names a configuration that is not there", what, held)
	}
	for _, fail := range []string{"write", "sync"} {
		for failAt := 0; failAt <= 5; failAt++ {
			for at := 1; ; at++ {
				u := &user{t: t, d: newDisk(), w: newTruth()}
				u.d.stopAt = at
				life(u, fail, failAt)
				if !u.d.stopped {
					break
				}
				what := fmt.Sprintf("%s refused at %d, stopped after %d", fail, failAt, at)
				check(what, u.d.killed(), u.w)
				u.d.powerLost(func(files map[string][]byte) { check(what, files, u.w) })
			}
		}
	}
}
