package accounts

import "time"

// Burn rates: the share of misses, in units of the share that the objective allows. At 1
// the budget of a window is used up exactly at its end. The alarm's rate uses a fiftieth
// of a budget of 30 days in an hour.
const (
	shortWindow = 5 * time.Minute
	longWindow  = time.Hour
	alarmBurn   = 14.4
)

// Spacings of samples: fine ones as far as the short window needs them, then coarser.
const (
	sampleEvery   = time.Minute
	longSpacing   = 5 * time.Minute
	windowSamples = 30 // over the objective's window
)

// sample is an account's cumulative figures at a time.
type sample struct {
	at     time.Duration
	owed   uint64
	missed uint64
}

// history is what was, newest last.
type history struct {
	samples []sample
}

// Budget is a tenant's standing against its objective.
type Budget struct {
	Left      float64       // part of the window's budget that is left; negative: overdrawn
	Known     time.Duration // how much of the window is known to this machine
	ShortBurn float64
	LongBurn  float64
	Alarm     bool // both burn at the alarm's rate or more
}

// add notes figures and thins out what is older.
func (h *history) add(now time.Duration, account Account, window time.Duration) {
	if n := len(h.samples); n > 0 && now-h.samples[n-1].at < sampleEvery {
		return
	}
	h.samples = append(h.samples, sample{now, account.Eligible(), account.Missed()})
	kept := h.samples[:0]
	for i, s := range h.samples {
		age := now - s.at
		last := i == len(h.samples)-1
		if age > window+window/windowSamples {
			continue
		}
		if last || len(kept) == 0 || s.at-kept[len(kept)-1].at >= spacing(age, window) {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// spacing is the least time between two samples of an age.
func spacing(age, window time.Duration) time.Duration {
	switch {
	case age <= shortWindow+sampleEvery:
		return sampleEvery
	case age <= longWindow+longSpacing:
		return longSpacing
	}
	return max(longSpacing, window/windowSamples)
}

// since is the newest sample at least as old as a span, or the oldest there is.
func (h *history) since(now, span time.Duration) (sample, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if now-h.samples[i].at >= span || i == 0 {
			return h.samples[i], true
		}
	}
	return sample{}, false
}

// missShare is the share of misses over a span, and the requests it is a share of.
func (h *history) missShare(now, span time.Duration, account Account) (share float64, owed uint64) {
	from, ok := h.since(now, span)
	if !ok || account.Eligible() <= from.owed {
		return 0, 0
	}
	owed = account.Eligible() - from.owed
	return float64(account.Missed()-min(account.Missed(), from.missed)) / float64(owed), owed
}

// budget reckons the standing of an account.
func (h *history) budget(now time.Duration, account Account, objective Objective) Budget {
	allowed := 1 - objective.Target
	short, _ := h.missShare(now, shortWindow, account)
	long, _ := h.missShare(now, longWindow, account)
	whole, _ := h.missShare(now, objective.Window, account)
	out := Budget{Left: 1 - whole/allowed, ShortBurn: short / allowed, LongBurn: long / allowed}
	if from, ok := h.since(now, objective.Window); ok {
		out.Known = min(objective.Window, now-from.at)
	}
	out.Alarm = out.ShortBurn >= alarmBurn && out.LongBurn >= alarmBurn
	return out
}
