package accounts

import "time"

// Burn rates: the share of misses, in units of the share that the objective allows. At 1
// the budget of a window is used up exactly at its end. The alarm's rate uses a fiftieth
// of a budget of 30 days in an hour.
const (
	shortBurnWindow = 5 * time.Minute
	longBurnWindow  = time.Hour
	alarmBurnRate   = 14.4
)

// Spacings of samples: fine ones as far as the short window needs them, then coarser.
const (
	sampleInterval       = time.Minute
	coarseSampleInterval = 5 * time.Minute
	samplesPerWindow     = 30 // over the objective's window
)

// sample is an account's cumulative figures at a time.
type sample struct {
	at       time.Duration
	eligible uint64
	missed   uint64
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
	if n := len(h.samples); n > 0 && now-h.samples[n-1].at < sampleInterval {
		return
	}
	h.samples = append(h.samples, sample{now, account.Eligible(), account.Missed()})
	kept := h.samples[:0]
	for i, s := range h.samples {
		age := now - s.at
		last := i == len(h.samples)-1
		if age > window+window/samplesPerWindow {
			continue
		}
		if last || len(kept) == 0 || s.at-kept[len(kept)-1].at >= minSpacing(age, window) {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// minSpacing is the least time between two samples of an age.
func minSpacing(age, window time.Duration) time.Duration {
	switch {
	case age <= shortBurnWindow+sampleInterval:
		return sampleInterval
	case age <= longBurnWindow+coarseSampleInterval:
		return coarseSampleInterval
	}
	return max(coarseSampleInterval, window/samplesPerWindow)
}

// sampleBefore is the newest sample at least as old as a span, or the oldest there is.
func (h *history) sampleBefore(now, span time.Duration) (sample, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if now-h.samples[i].at >= span || i == 0 {
			return h.samples[i], true
		}
	}
	return sample{}, false
}

// missRatio is the share of misses over a span, and the requests it is a share of.
func (h *history) missRatio(now, span time.Duration, account Account) (share float64, owed uint64) {
	from, ok := h.sampleBefore(now, span)
	if !ok || account.Eligible() <= from.eligible {
		return 0, 0
	}
	owed = account.Eligible() - from.eligible
	return float64(account.Missed()-min(account.Missed(), from.missed)) / float64(owed), owed
}

// budget reckons the standing of an account.
func (h *history) budget(now time.Duration, account Account, objective Objective) Budget {
	allowed := 1 - objective.Target
	short, _ := h.missRatio(now, shortBurnWindow, account)
	long, _ := h.missRatio(now, longBurnWindow, account)
	whole, _ := h.missRatio(now, objective.Window, account)
	out := Budget{Left: 1 - whole/allowed, ShortBurn: short / allowed, LongBurn: long / allowed}
	if from, ok := h.sampleBefore(now, objective.Window); ok {
		out.Known = min(objective.Window, now-from.at)
	}
	out.Alarm = out.ShortBurn >= alarmBurnRate && out.LongBurn >= alarmBurnRate
	return out
}
