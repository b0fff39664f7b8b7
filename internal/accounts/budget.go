package accounts

import "time"

// A burn rate is the fraction of eligible requests that missed the objective, divided by the
// fraction that the objective allows. At a burn rate of 1, the error budget is used up exactly
// at the end of the objective's window. At alarmBurnRate, one hour uses a fiftieth of a 30-day
// budget.
const (
	shortBurnWindow = 5 * time.Minute
	longBurnWindow  = time.Hour
	alarmBurnRate   = 14.4
)

// Distances between the samples of a history: small for the short burn window, larger for
// older samples.
const (
	sampleInterval       = time.Minute
	coarseSampleInterval = 5 * time.Minute
	samplesPerWindow     = 30 // over the objective's window, unless coarseSampleInterval is longer
)

// sample is a snapshot of an account's cumulative request counts.
type sample struct {
	at       time.Duration
	eligible uint64
	missed   uint64
}

// history holds the past samples of one account, oldest first.
type history struct {
	samples []sample
}

// Budget is the state of a tenant's error budget.
type Budget struct {
	Left      float64       // remaining fraction of the budget; negative if the budget is exceeded
	Known     time.Duration // the part of the window that this node has samples of
	ShortBurn float64
	LongBurn  float64
	Alarm     bool // both burn rates are at least alarmBurnRate
}

// add records a sample, discards samples older than the objective's window and thins out
// older ones.
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

// minSpacing returns the minimum distance between two samples of the given age.
func minSpacing(age, window time.Duration) time.Duration {
	switch {
	case age <= shortBurnWindow+sampleInterval:
		return sampleInterval
	case age <= longBurnWindow+coarseSampleInterval:
		return coarseSampleInterval
	}
	return max(coarseSampleInterval, window/samplesPerWindow)
}

// sampleBefore returns the newest sample that is at least as old as span, or the oldest sample
// if none is.
func (h *history) sampleBefore(now, span time.Duration) (sample, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if now-h.samples[i].at >= span || i == 0 {
			return h.samples[i], true
		}
	}
	return sample{}, false
}

// missRatio returns the fraction of eligible requests that missed the objective within span,
// and the number of those eligible requests.
func (h *history) missRatio(now, span time.Duration, account Account) (ratio float64, eligible uint64) {
	from, ok := h.sampleBefore(now, span)
	if !ok || account.Eligible() <= from.eligible {
		return 0, 0
	}
	eligible = account.Eligible() - from.eligible
	return float64(account.Missed()-min(account.Missed(), from.missed)) / float64(eligible), eligible
}

// budget computes the state of an account's error budget.
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
