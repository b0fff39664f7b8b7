package admissionmodel

import (
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
)

// Rules, by the names under which a violation is reported.
const (
	RuleBound   = "no window sees more than the quota and its floors"
	RulePromise = "no window of the promised length sees more than is promised"
	RuleServes  = "a pressed key is served after quiet"
)

// Fault is a defect injected into the model around the state machines, to verify that the
// search detects it.
type Fault string

// The faults that can be injected.
const (
	NoFault              Fault = ""
	KeepReturnedLoan     Fault = "loan"     // the tracker keeps using a loan after its proxy has taken it back
	TrackerWithoutWarmup Fault = "tracker"  // a new tracker grants as if it had been tracking for a long time
	NewcomerWithoutWait  Fault = "newcomer" // a new proxy gets a share before the others account for it
	StandbyOnTimeout     Fault = "standby"  // a proxy takes a lost answer to mean that the tracker is gone
)

// MaxProxies is the maximum number of proxies, including newcomers.
const MaxProxies = 4

// Config bounds a model.
type Config struct {
	Proxies       int // number of initial proxies
	Newcomers     int
	Trackers      int
	Quota         admission.Quota
	Slack         float64 // absolute slack of the quota; determines the floors, and so which keys are served by trackers alone
	Faults        int     // maximum per schedule; repairs do not count
	Step          time.Duration
	Messages      bool     // also choose before each message
	Kinds         []string // kinds of choices; empty means all
	Without       []string
	Pressed       bool // clients exceed the quota at all proxies from the end of the warm-up, when the buckets are full
	Warm          time.Duration
	Window        time.Duration // window of the promise; the design's bound holds for windows of any length
	LongWait      time.Duration // duration of the choice "long"
	SettleTime    time.Duration // time after the end of faults before the key must be served
	InjectedFault Fault
	Tolerance     float64 // number of tokens by which both bounds may be exceeded, to search beyond known violations
}

// Small returns a configuration with two proxies and one newcomer. With two proxies the split
// shares are large enough to serve the key; with three the tracker alone serves it.
func Small() Config {
	return Config{
		Proxies:    2,
		Newcomers:  1,
		Trackers:   2,
		Quota:      admission.Quota{Rate: 20, Burst: 20},
		Slack:      2.5,
		Faults:     3,
		Step:       500 * time.Millisecond,
		Warm:       4 * time.Second,
		Window:     5 * time.Second,
		LongWait:   constants.SplitTimeout + time.Second,
		SettleTime: 12 * time.Second,
	}
}

const (
	key     = "k"
	shards  = 1
	control = "c"

	// loadedArrivals is the number of requests per tick under load, which makes the key hot at
	// each proxy.
	loadedArrivals = 12
	// finalLoadTime is how long clients exceed the quota at the end of a schedule, while its
	// faults last.
	finalLoadTime = 2500 * time.Millisecond
	// serviceLoadTime is how long clients exceed the quota after faults end, and minServedShare
	// the fraction of the rate that must be served in that time.
	serviceLoadTime = 4 * time.Second
	minServedShare  = 0.4
	// promisedOverage is the fraction beyond the quota that the promise allows.
	promisedOverage = 0.1
	// dutyVacancy is how long there is no tracker while the duty moves.
	dutyVacancy = 300 * time.Millisecond
	// powerLossVacancy is the additional vacancy after all processes were stopped.
	powerLossVacancy = 2 * time.Second
	// maxAge exceeds every timeout in the model.
	maxAge = constants.ProxyExpiry + 2*time.Second
	// floatResolution is the difference in tokens or rates below which states are the same.
	floatResolution = 0.01
)

var (
	proxyNames   = []string{"p", "q", "r", "s"}
	trackerNames = []string{"t", "u", "v"}
)
