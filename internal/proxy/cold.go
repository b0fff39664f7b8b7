package proxy

import (
	"time"

	"slateridge/internal/constants"
)

// admitsCold says whether a cold upstream may be sent a request from here now. Its
// bound holds over all proxies, and nobody is asked: by lot a few of them own
// it, and each sends one request at a time, spaced so that no second sees two.
// The lot needs no roster, only the live count, and is as good while counts
// differ.
func (u *Upstream) admitsCold(now time.Time) bool {
	n := u.pool.proxies
	return n > 0 && float64(u.rank)*float64(n) < constants.ColdOwners*(1<<32) && now.Sub(u.coldAt) >= constants.ColdEvery
}
