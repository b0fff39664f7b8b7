package usage

import (
	"strconv"

	"slateridge/internal/constants"
)

type (
	// Save is the action of replacing a value on the machine's disk.
	Save struct {
		Key     string
		Reports []Report
	}
	// SendHandover is the action of sending a handover to the duty holder, which may be this machine.
	SendHandover struct {
		To string
		Handover
	}
)

// StoreKey is the key under which a holder stores a full snapshot of its tally. Reports that
// arrive between two snapshots are stored under one further key per save. Merging is by maximum, so
// a stored report that is older than the snapshot has no effect.
const StoreKey = "usage"

func recentKey(turn int) string { return StoreKey + "-" + strconv.Itoa(turn) }

// Persister saves a tally while this machine holds the duty, so that the reports outlast the process,
// and hands them over to the next holder. For proxy incarnations that have ended there is no
// other copy. It does not access a clock, the disk or the network itself.
type Persister struct {
	tally       *Tally
	pending     []Report // to hand over to the next holder
	held        bool     // the duty was held at the previous step
	handoverDue bool     // a handover is due, even if it has no reports
	turn        int      // position in the cycle of constants.UsageSaves saves; 0 is the full snapshot
}

// NewPersister returns the persister of a tally. get reads a value from the machine's disk, which
// may contain reports stored by an earlier process.
func NewPersister(tally *Tally, get func(key string, v any) bool) *Persister {
	p := &Persister{tally: tally}
	get(StoreKey, &p.pending)
	for turn := 1; turn < constants.UsageSavesPerSnapshot; turn++ {
		var recent []Report
		if get(recentKey(turn), &recent) {
			p.pending = append(p.pending, recent...)
		}
	}
	return p
}

// Step returns the actions to take, of type Save and SendHandover. It is called every
// constants.UsageSaveInterval. held indicates whether this machine holds the duty, and holder is the last
// known holder of the duty.
func (p *Persister) Step(held bool, holder string) []any {
	if p.held && !held {
		p.pending = append(p.pending, p.tally.Snapshot()...)
		p.handoverDue = true
	}
	p.held = held
	var actions []any
	if (p.handoverDue || len(p.pending) > 0) && holder != "" {
		for i := 0; i == 0 || i < len(p.pending); i += constants.UsageHandoverBatch {
			end := min(i+constants.UsageHandoverBatch, len(p.pending))
			actions = append(actions, SendHandover{holder, Handover{Words: p.pending[i:end], Last: end == len(p.pending)}})
		}
		p.pending, p.handoverDue = nil, false
	}
	if !held || len(actions) > 0 {
		return actions // a handover to this machine itself is saved in the next step
	}
	if save, ok := p.save(); ok {
		actions = append(actions, save)
	}
	return actions
}

// save returns the next value to store: a full snapshot once every constants.UsageSavesPerSnapshot steps,
// otherwise the reports merged since the previous step.
func (p *Persister) save() (Save, bool) {
	if p.turn = (p.turn + 1) % constants.UsageSavesPerSnapshot; p.turn == 0 {
		reports, changed := p.tally.SnapshotIfChanged()
		return Save{StoreKey, reports}, changed
	}
	reports := p.tally.TakeRecent()
	return Save{recentKey(p.turn), reports}, len(reports) > 0
}
