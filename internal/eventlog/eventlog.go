// Package eventlog records the events of a process: it keeps the latest ones in a bounded
// ring buffer, counts all of them by kind, and writes changes of state to the log.
package eventlog

import (
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"slateridge/internal/constants"
)

// Event is a change of state. About names what it concerns.
type Event struct {
	At    time.Time
	Kind  string
	About string
}

// Log keeps the latest events and counts all of them by kind. Recorded events are also
// written to the output; events that are only counted are not.
type Log struct {
	mu     sync.Mutex
	output zerolog.Logger
	ring   []Event
	next   int // position in ring that is overwritten next, once it is full
	counts map[string]uint64
}

// New returns an empty event log that writes recorded events to log.
func New(log zerolog.Logger) *Log {
	return &Log{output: log, counts: map[string]uint64{}}
}

// Record counts an event, keeps it and writes it to the output.
func (l *Log) Record(kind, about string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind]++
	e := Event{time.Now(), kind, about}
	if len(l.ring) < constants.EventLogCapacity {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.next] = e
		l.next = (l.next + 1) % len(l.ring)
	}
	l.output.Info().Str("event", kind).Str("about", about).Send()
}

// Count adds n to the count of a kind without recording an event.
func (l *Log) Count(kind string, n uint64) {
	l.mu.Lock()
	l.counts[kind] += n
	l.mu.Unlock()
}

// Latest returns the last n events, oldest first.
func (l *Log) Latest(n int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append(append([]Event(nil), l.ring[l.next:]...), l.ring[:l.next]...)
	return all[max(0, len(all)-n):]
}

// Tally is the number of events of one kind.
type Tally struct {
	Kind string
	N    uint64
}

// Tallies returns the counts, sorted by kind.
func (l *Log) Tallies() []Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	var tallies []Tally
	for kind, n := range l.counts {
		tallies = append(tallies, Tally{kind, n})
	}
	sort.Slice(tallies, func(i, j int) bool { return tallies[i].Kind < tallies[j].Kind })
	return tallies
}
