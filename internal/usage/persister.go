package usage

import (
	"strconv"

	"slateridge/internal/constants"
)

type (
	// Save replaces a value on the machine's disk.
	Save struct {
		Key     string
		Reports []Report
	}
	// SendHandover goes to the duty's holder, which may be this machine.
	SendHandover struct {
		To string
		Handover
	}
)

// StoreKey is where a holder keeps all that it has gathered. Between two such saves the
// reports that have come since the latest save are kept under a key for each turn. Merged by
// maximum with the whole, a report that is older than it changes nothing.
const StoreKey = "usage"

func recentKey(turn int) string { return StoreKey + "-" + strconv.Itoa(turn) }

// Persister has what a tally gathered outlast its process, while this machine holds the
// duty, and hands it on to the next holder. Of incarnations of proxies that have ended that is all
// that is left. It has no clock, disk or network of its own.
type Persister struct {
	tally  *Tally
	kept   []Report // what another holder should know
	held   bool     // the duty was held at the last step
	handOn bool     // there is something to hand on, be it only that there was nothing
	turn   int      // saves since the latest whole one
}

// NewPersister makes the keeper of a tally; get reads a value from the machine's disk, on
// which the incarnation before may have left something.
func NewPersister(tally *Tally, get func(key string, v any) bool) *Persister {
	k := &Persister{tally: tally}
	get(StoreKey, &k.kept)
	for turn := 1; turn < constants.UsageSaves; turn++ {
		var recent []Report
		if get(recentKey(turn), &recent) {
			k.kept = append(k.kept, recent...)
		}
	}
	return k
}

// Step is driven every constants.UsageSave; held says that this machine holds the duty, and
// holder who does, as far as is known here. What it gives is Save and HandOn.
func (k *Persister) Step(held bool, holder string) []any {
	if k.held && !held {
		k.kept = append(k.kept, k.tally.Snapshot()...)
		k.handOn = true
	}
	k.held = held
	var out []any
	if (k.handOn || len(k.kept) > 0) && holder != "" {
		for i := 0; i == 0 || i < len(k.kept); i += constants.UsageBatch {
			end := min(i+constants.UsageBatch, len(k.kept))
			out = append(out, SendHandover{holder, Handover{Words: k.kept[i:end], Last: end == len(k.kept)}})
		}
		k.kept, k.handOn = nil, false
	}
	if !held || len(out) > 0 {
		return out // what is handed to this machine itself is saved with the next step
	}
	if save, some := k.save(); some {
		out = append(out, save)
	}
	return out
}

// save is the next value for the disk: one step in constants.UsageSaves all that is known,
// else the reports that have come since the step before.
func (k *Persister) save() (Save, bool) {
	if k.turn = (k.turn + 1) % constants.UsageSaves; k.turn == 0 {
		words, changed := k.tally.SnapshotIfChanged()
		return Save{StoreKey, words}, changed
	}
	words := k.tally.TakeRecent()
	return Save{recentKey(k.turn), words}, len(words) > 0
}
