// Package logbook is the keeper's book; in the field's terms: a process's
// bounded journal of events in memory, and the views folded from it.
package logbook

import (
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/constants"
)

// Event is one thing that happened, of a kind, with what it was about.
type Event struct {
	At    time.Time
	Kind  string
	About string
}

// Logbook keeps the latest events and counts all by kind. Events that change a
// state are also written to the log; counts alone are not.
type Logbook struct {
	mu     sync.Mutex
	log    zerolog.Logger
	ring   []Event
	next   int
	counts map[string]uint64
}

// New makes an empty book that writes changes of state to log.
func New(log zerolog.Logger) *Logbook {
	return &Logbook{log: log, counts: map[string]uint64{}}
}

// Note appends a change of state.
func (l *Logbook) Note(kind, about string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind]++
	e := Event{time.Now(), kind, about}
	if len(l.ring) < constants.JournalEvents {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.next] = e
		l.next = (l.next + 1) % len(l.ring)
	}
	l.log.Info().Str("event", kind).Str("about", about).Send()
}

// Count adds to a counter without an entry.
func (l *Logbook) Count(kind string, n uint64) {
	l.mu.Lock()
	l.counts[kind] += n
	l.mu.Unlock()
}

// Latest folds the last n events, oldest first.
func (l *Logbook) Latest(n int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append(append([]Event(nil), l.ring[l.next:]...), l.ring[:l.next]...)
	return all[max(0, len(all)-n):]
}

// Count of one kind in a fold of all events.
type Tally struct {
	Kind string
	N    uint64
}

// Tallies folds the counts, by kind.
func (l *Logbook) Tallies() []Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Tally
	for k, n := range l.counts {
		out = append(out, Tally{k, n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}
