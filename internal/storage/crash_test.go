package storage

import (
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
)

// expectedState is what a store may contain for each key: the value that was
// acknowledged last, or one whose Put was started later and has no known outcome.
type expectedState struct {
	acked   map[string]string
	pending map[string][]string
}

func newExpectedState() *expectedState {
	return &expectedState{map[string]string{}, map[string][]string{}}
}

var keys = []string{"a", "b"}

func get(store *Store, key string) string {
	var s string
	store.Get(key, &s)
	return s
}

// verify returns an error if a reopened store contains an unexpected value.
func (e *expectedState) verify(store *Store) error {
	for _, k := range keys {
		if got := get(store, k); got != e.acked[k] && !slices.Contains(e.pending[k], got) {
			return fmt.Errorf("%s is %q; acknowledged %q, pending %q", k, got, e.acked[k], e.pending[k])
		}
	}
	return nil
}

// acknowledge marks the values of a store that was opened as acknowledged, because its
// user acts on them.
func (e *expectedState) acknowledge(store *Store) {
	for _, k := range keys {
		if s := get(store, k); s != "" {
			e.acked[k] = s
		}
	}
	clear(e.pending)
}

// user is a process that uses a store on a disk model until it is stopped.
type user struct {
	t        *testing.T
	disk     *disk
	expected *expectedState
	store    *Store
	name     string // describes the test case in failure messages
}

func (u *user) fail(f string, a ...any) {
	u.t.Helper()
	u.t.Fatalf("%s, at operation %d (%s): %s", u.name, u.disk.ops, u.disk.lastOp, fmt.Sprintf(f, a...))
}

func (u *user) open() bool {
	store, _, err := open(u.disk)
	if u.disk.stopped {
		return false
	}
	if err != nil {
		u.fail("does not open: %v", err)
	}
	store.compactMinSize = 300 // small enough that puts compact
	u.store = store
	u.expected.acknowledge(store)
	return true
}

func (u *user) put(key, val string) error {
	if u.disk.stopped {
		return errStopped
	}
	u.expected.pending[key] = append(u.expected.pending[key], val)
	err := u.store.Put(key, val)
	if u.disk.stopped {
		return errStopped
	}
	if err == nil {
		u.expected.acked[key] = val
		delete(u.expected.pending, key)
	} else if !errors.Is(err, ErrWriteFailed) {
		u.fail("the error is not ErrWriteFailed: %v", err)
	}
	if got := get(u.store, key); got != u.expected.acked[key] {
		u.fail("before a restart %s is %q, acknowledged %q", key, got, u.expected.acked[key])
	}
	return err
}

func (u *user) recover() error {
	if u.disk.stopped {
		return errStopped
	}
	err := u.store.Recover()
	if err == nil && !u.disk.stopped {
		clear(u.expected.pending)
		if u.store.Failed() {
			u.fail("the store is failed after Recover succeeded")
		}
	}
	return err
}

// runScript performs two puts, a compaction, puts that trigger another compaction, one
// put that fails in the given way, a recovery and a last put.
func (u *user) runScript(failOp string, shortWrites, failedSyncDrops bool) {
	if !u.open() {
		return
	}
	u.put("a", "a1")
	u.put("b", "b1")
	if !u.disk.stopped {
		u.store.compact()
	}
	u.put("a", "a2 longer than the first")
	u.put("b", "b2")
	u.put("b", "b3 which has some length, so that it is soon compacted")
	if !u.disk.stopped {
		u.disk.shortWrites, u.disk.failedSyncDrops = shortWrites, failedSyncDrops
		u.disk.fail = func(op string, _ int) bool { return op == failOp }
		if u.put("a", "a3 refused") == nil {
			u.fail("a put that failed on disk was acknowledged")
		}
		u.disk.fail = nil
	}
	u.recover()
	u.put("b", "b4")
}

// failures are the kinds of disk failures that the script is run with.
var failures = []struct {
	op                           string
	shortWrites, failedSyncDrops bool // see disk
}{{"write", false, false}, {"write", true, false}, {"sync", false, false}, {"sync", false, true}}

// checkedStates holds the hashes of the states that have been checked, because the same
// files with the same expected state occur many times.
type checkedStates map[uint64]bool

// check checks the files that a crash has left: the store opens, contains the expected
// values, and accepts writes.
func (c checkedStates) check(t *testing.T, name string, files map[string][]byte, expected *expectedState) {
	t.Helper()
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, file := range []string{fileName, tempFileName} {
		b, exists := files[file]
		fmt.Fprint(&h, exists, len(b))
		h.Write(b)
	}
	for _, k := range keys {
		fmt.Fprintf(&h, "%q %q", expected.acked[k], expected.pending[k])
	}
	key := h.Sum64()
	if c[key] {
		return
	}
	c[key] = true
	d := newDiskWith(files)
	store, _, err := open(d)
	if err != nil {
		t.Fatalf("%s: does not open: %v (%q)", name, err, files)
	}
	defer store.Close()
	if err := expected.verify(store); err != nil {
		t.Fatalf("%s: %v (%q)", name, err, files)
	}
	before := get(store, "b")
	if err := store.Put("a", "next"); err != nil {
		t.Fatalf("%s: the store accepts no writes: %v", name, err)
	}
	reopened, _, err := open(d)
	if err != nil || get(reopened, "a") != "next" || get(reopened, "b") != before {
		t.Fatalf("%s: a later write was lost: %v", name, err)
	}
	reopened.Close()
}

// The script is stopped after each single disk operation, by a kill and by a power loss
// with every outcome that the disk model allows. The enumeration is exhaustive and uses
// no random numbers.
func TestCrashAfterEveryOperation(t *testing.T) {
	t.Parallel()
	stops, outcomes, checked := 0, 0, checkedStates{}
	for _, f := range failures {
		for _, torn := range []bool{false, true} {
			for at := 1; ; at++ {
				u := &user{t: t, disk: newDisk(), expected: newExpectedState(), name: fmt.Sprintf("failure %+v, torn write %v, stop after %d", f, torn, at)}
				u.disk.stopAfter, u.disk.tearLastWrite = at, torn
				u.runScript(f.op, f.shortWrites, f.failedSyncDrops)
				if u.store != nil {
					u.store.Close()
				}
				if !u.disk.stopped {
					break
				}
				stops++
				checked.check(t, u.name+", killed", u.disk.afterKill(), u.expected)
				u.disk.afterPowerLoss(func(files map[string][]byte) {
					outcomes++
					checked.check(t, u.name+", power lost", files, u.expected)
				})
			}
		}
	}
	t.Logf("%d stops, %d outcomes of a power loss, %d distinct states", stops, outcomes, len(checked))
	if stops < 200 || outcomes < 10000 {
		t.Fatal("the enumeration covers fewer cases than expected")
	}
}

// A process is killed after each operation, and the next one is stopped by a power loss
// after each of its operations. The values that the second process read must survive,
// even if the first one never acknowledged them.
func TestPowerLossAfterRestart(t *testing.T) {
	t.Parallel()
	stops, outcomes, checked := 0, 0, checkedStates{}
	for _, f := range failures {
		for first := 1; ; first++ {
			ended := false
			for second := 1; ; second++ {
				u := &user{t: t, disk: newDisk(), expected: newExpectedState(), name: fmt.Sprintf("failure %+v, killed after %d, power lost after %d", f, first, second)}
				u.disk.stopAfter = first
				u.runScript(f.op, f.shortWrites, f.failedSyncDrops)
				if u.store != nil {
					u.store.Close()
				}
				if ended = !u.disk.stopped; ended {
					break
				}
				u.disk.restart()
				u.disk.stopAfter = second
				u.store = nil
				if u.open() {
					u.put("a", "a9")
				}
				if u.store != nil {
					u.store.Close()
				}
				stops++
				u.disk.afterPowerLoss(func(files map[string][]byte) {
					outcomes++
					checked.check(t, u.name, files, u.expected)
				})
				if !u.disk.stopped {
					break
				}
			}
			if ended {
				break
			}
		}
	}
	t.Logf("%d stops, %d outcomes of a power loss, %d distinct states", stops, outcomes, len(checked))
	if stops < 1000 || outcomes < 10000 {
		t.Fatal("the enumeration covers fewer cases than expected")
	}
}

// The disk fails starting with each operation, for one or two operations or until it has
// space again. Acknowledged values must survive a crash at any time, no other values may
// be returned once Recover has succeeded, and Recover must succeed once there is space.
func TestDiskFailureFromEveryOperation(t *testing.T) {
	t.Parallel()
	runs, outcomes, checked := 0, 0, checkedStates{}
	for _, span := range []int{1, 2, 1 << 30} {
		for _, shortWrites := range []bool{false, true} {
			for from := 1; ; from++ {
				u := &user{t: t, disk: newDisk(), expected: newExpectedState(), name: fmt.Sprintf("%d failures from operation %d, short writes %v", span, from, shortWrites)}
				u.disk.shortWrites, u.disk.failedSyncDrops = shortWrites, true
				fail := func(_ string, n int) bool { return n >= from && n-from < span }
				u.disk.fail = fail
				check := func() {
					checked.check(t, u.name+", killed", u.disk.afterKill(), u.expected)
					u.disk.afterPowerLoss(func(files map[string][]byte) {
						outcomes++
						checked.check(t, u.name+", power lost", files, u.expected)
					})
				}
				store, _, err := open(u.disk)
				if err != nil {
					u.disk.fail = nil // a new store cannot be created until there is space
					if store, _, err = open(u.disk); err != nil {
						u.fail("does not open once there is space: %v", err)
					}
				}
				store.compactMinSize = 300
				u.store = store
				for i := range 12 {
					key := keys[i%2]
					err := u.put(key, fmt.Sprintf("%s %d, long enough that some of these make the store compact itself", key, i))
					check()
					if err == nil {
						continue
					}
					if !store.Failed() {
						u.fail("a put failed, but Failed reports false")
					}
					for range 2 {
						if u.recover() != nil && !store.Failed() {
							u.fail("Recover failed, but Failed reports false")
						}
						check()
					}
					u.disk.fail = nil
					if err := u.recover(); err != nil {
						u.fail("Recover fails although there is space: %v", err)
					}
					check()
				}
				store.Close()
				runs++
				if u.disk.ops < from {
					break
				}
			}
		}
	}
	t.Logf("%d runs, %d outcomes of a power loss, %d distinct states", runs, outcomes, len(checked))
	if runs < 200 || outcomes < 10000 {
		t.Fatal("the enumeration covers fewer cases than expected")
	}
}

// On a disk without space an existing store opens in the failed state, returns all
// acknowledged values, accepts no writes, and recovers once there is space.
func TestOpenOnFullDisk(t *testing.T) {
	d := newDisk()
	store, _, _ := open(d)
	store.Put("a", "kept")
	store.Close()
	files := maps.Clone(d.afterKill())
	for _, torn := range []string{"", "*3\r\n$3\r\nset\r\n$1"} {
		d = newDiskWith(map[string][]byte{fileName: append(files[fileName][:len(files[fileName]):len(files[fileName])], torn...)})
		d.fail = func(op string, _ int) bool { return op == "create" || op == "write" }
		store, isNew, err := open(d)
		if err != nil || isNew || get(store, "a") != "kept" {
			t.Fatalf("opening on a full disk: %v, new %v", err, isNew)
		}
		if !store.Failed() || !errors.Is(store.Put("a", "more"), ErrWriteFailed) || store.Recover() == nil {
			t.Fatal("the full disk was not detected")
		}
		d.fail = nil
		if err := store.Recover(); err != nil {
			t.Fatal(err)
		}
		if err := store.Put("a", "more"); err != nil {
			t.Fatal(err)
		}
		store.Close()
	}
	// If the sync fails too, it is unknown which values are durable, so Open must fail.
	d = newDiskWith(files)
	d.fail = func(string, int) bool { return true }
	if _, _, err := open(d); err == nil {
		t.Fatal("the store opened although no sync succeeded")
	}
}

// The chain stores a configuration under one of two keys, the one that the current state
// does not refer to, and then the state that refers to it. Whichever state is found after
// a crash, the configuration that it refers to must exist.
func TestReferencedConfigurationSurvivesEveryCrash(t *testing.T) {
	t.Parallel()
	type config struct {
		Version int
		Raw     string
	}
	configKeys := []string{"raw0", "raw1"}
	run := func(u *user, failOp string, failAt int) {
		store, _, err := open(u.disk)
		if err != nil || u.disk.stopped {
			return
		}
		defer store.Close()
		store.compactMinSize = 500
		held, stored := 0, [2]int{} // version of the current state, and versions under the two keys
		for v := 1; v <= 5; v++ {
			if v == failAt {
				u.disk.fail = func(op string, _ int) bool { return op == failOp }
			}
			i := 0
			if held > 0 && stored[0] == held {
				i = 1
			}
			switch {
			case store.Put(configKeys[i], config{v, fmt.Sprint("configuration ", v)}) != nil:
				stored[i] = 0
			default:
				stored[i] = v
				if store.Put("held", v) == nil {
					held = v
				}
			}
			if u.disk.stopped {
				return
			}
			u.disk.fail = nil
			store.Recover()
			if !u.disk.stopped {
				u.expected.acked["held"] = fmt.Sprint(held)
			}
		}
	}
	seen := map[string]bool{}
	check := func(name string, files map[string][]byte, expected *expectedState) {
		t.Helper()
		key := expected.acked["held"] + string(files[fileName])
		if seen[key] {
			return
		}
		seen[key] = true
		store, _, err := open(newDiskWith(files))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		defer store.Close()
		held := 0
		if !store.Get("held", &held) {
			if expected.acked["held"] != "" && expected.acked["held"] != "0" {
				t.Fatalf("%s: the state is missing", name)
			}
			return
		}
		for _, k := range configKeys {
			var r config
			if store.Get(k, &r) && r.Version == held && r.Raw == fmt.Sprint("configuration ", held) {
				return
			}
		}
		t.Fatalf("%s: state %d refers to a configuration that does not exist", name, held)
	}
	for _, failOp := range []string{"write", "sync"} {
		for failAt := 0; failAt <= 5; failAt++ {
			for at := 1; ; at++ {
				u := &user{t: t, disk: newDisk(), expected: newExpectedState()}
				u.disk.stopAfter = at
				run(u, failOp, failAt)
				if !u.disk.stopped {
					break
				}
				name := fmt.Sprintf("%s failed at version %d, stopped after operation %d", failOp, failAt, at)
				check(name, u.disk.afterKill(), u.expected)
				u.disk.afterPowerLoss(func(files map[string][]byte) { check(name, files, u.expected) })
			}
		}
	}
}
