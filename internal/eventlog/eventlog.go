// Package eventlog keeps a process's latest events in memory, bounded, counts all of them
// by kind, and writes those that change a state to the log.
package eventlog

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

// Log keeps the latest events and counts all by kind. Events that change a
// state are also written to the log; counts alone are not.
type Log struct {
	mu     sync.Mutex
	output zerolog.Logger
	ring   []Event
	next   int
	counts map[string]uint64
}

// New makes an empty event log that writes changes of state to log.
func New(log zerolog.Logger) *Log {
	return &Log{output: log, counts: map[string]uint64{}}
}

// Record appends a change of state.
func (l *Log) Record(kind, about string) {
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
	l.output.Info().Str("event", kind).Str("about", about).Send()
}

// Count adds to a counter without an entry.
func (l *Log) Count(kind string, n uint64) {
	l.mu.Lock()
	l.counts[kind] += n
	l.mu.Unlock()
}

// Latest folds the last n events, oldest first.
func (l *Log) Latest(n int) []Event {
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
func (l *Log) Tallies() []Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Tally
	for k, n := range l.counts {
		out = append(out, Tally{k, n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}
