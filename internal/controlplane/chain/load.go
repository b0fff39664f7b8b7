package chain

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/config"
)

// Keys of the records in the store, besides bulkKeys.
const (
	incarnationKey  = "incarnation" // uint64: identifies the incarnation of the disk
	agreementKey    = "agreement"   // agreement
	heldKey         = "held"        // config.Doc, without its bulk
	legacyVotersKey = "peers"       // []string: the voters, written by builds whose views did not list them
)

// foundersIncarnation is the incarnation of every founder's disk, so that each founder can
// name the others.
const foundersIncarnation = 1

var errBulkMissing = errors.New("the configuration that the stored state refers to is missing")

// New restores a machine from its store; peers are some known control machines. If founding
// is set and the store is empty, the first view consists of peers and this machine. A
// machine without a stored history otherwise takes part in nothing until a view includes it.
func New(now time.Duration, addr string, peers []string, founding bool, store Store, rng *rand.Rand) (*Chain, error) {
	c := &Chain{
		seeds:                  peers,
		peers:                  slices.Clone(peers),
		store:                  store,
		rng:                    rng,
		now:                    now,
		startedAt:              now,
		lastTick:               now,
		peerStates:             map[string]*peerState{},
		pendingConfigs:         map[config.LedgerEntry]config.Doc{},
		pendingConfigSince:     map[config.LedgerEntry]time.Duration{},
		pendingEvacuations:     map[uint64]EvacuationOrder{},
		pendingEvacuationSince: map[uint64]time.Duration{},
		departures:             map[string]time.Duration{},
		retireRequests:         map[string]time.Duration{},
	}
	c.addPeer(addr)
	sort.Strings(c.peers)
	incarnation, err := c.loadIncarnation(addr, founding)
	if err != nil {
		return nil, err
	}
	c.Me = Member{addr, incarnation}
	c.loadAgreement()
	if err := c.loadHeld(); err != nil {
		return nil, err
	}
	c.nonce, c.clockBase, c.readIndexAt = rng.Uint64(), rng.Uint64()>>1, -1
	c.lastRound = c.agreement.Promised.Round
	return c, nil
}

// loadIncarnation returns the incarnation of this machine's disk. On an empty disk it
// starts a new one and stores the initial agreement: the first view if this machine is a
// founder, or none.
func (c *Chain) loadIncarnation(addr string, founding bool) (uint64, error) {
	var incarnation uint64
	if c.store.Get(incarnationKey, &incarnation) {
		return incarnation, nil
	}
	incarnation = c.rng.Uint64() | 2
	a := agreement{}
	// A founder that stopped between the two writes below is still a founder: it has sent
	// nothing yet, and if every founder came back as a joining machine, no first view would
	// exist.
	if c.store.Get(agreementKey, &a) && a.Joined && a.View.Num == 1 && a.View.HasMember(Member{addr, foundersIncarnation}) {
		founding, c.peers = true, nil
		for _, m := range a.View.Members {
			c.addPeer(m.Addr)
		}
		a = agreement{}
	}
	if founding {
		incarnation = foundersIncarnation
		a.Joined, a.View = true, foundingView(c.peers)
	}
	if err := c.store.Put(agreementKey, a); err != nil {
		return 0, err
	}
	if err := c.store.Put(incarnationKey, incarnation); err != nil {
		return 0, err
	}
	return incarnation, nil
}

// foundingView returns the first view, made of the founders.
func foundingView(founders []string) View {
	v := View{Num: 1, Epoch: 1, Base: len(founders)}
	for _, f := range founders {
		v.Members = append(v.Members, Member{f, foundersIncarnation})
	}
	v.Voters = slices.Clone(v.Members)
	return v
}

// loadAgreement restores what this machine has agreed to.
func (c *Chain) loadAgreement() {
	c.store.Get(agreementKey, &c.agreement)
	if v := &c.agreement.View; len(v.Voters) == 0 && len(v.Members) > 0 {
		// Written by a build whose views did not list their voters. The voters were
		// fixed then, and those outside the view have no known incarnation until a
		// view includes them.
		var old []string
		c.store.Get(legacyVotersKey, &old)
		v.Voters, v.Epoch = slices.Clone(v.Members), 1
		for _, p := range old {
			if v.memberIndex(p) < 0 {
				v.Voters = append(v.Voters, Member{Addr: p})
			}
		}
	}
	for _, m := range c.agreement.View.Voters {
		c.addPeer(m.Addr)
	}
}

// loadHeld restores the newest state on disk together with its bulk.
func (c *Chain) loadHeld() error {
	var d config.Doc
	if !c.store.Get(heldKey, &d) {
		return nil
	}
	if d.Stamp == (config.Revision{}) {
		d.Stamp.Seq = d.Version // written by a build that ordered states by version
	}
	if d.Raw != nil && d.Sum == 0 {
		d.Sum = config.Checksum(d.Raw)
	}
	for i, k := range bulkKeys {
		var b bulk
		if c.store.Get(k, &b) {
			if b.matches(&d) && d.Raw == nil {
				d.Raw, d.Ledger = b.Raw, b.Ledger
			}
			b.Raw, b.Ledger.Taken = nil, nil
			c.bulks[i] = b
		}
	}
	if d.Raw == nil && d.Version > 0 {
		return errBulkMissing
	}
	d.EnsureLedger()
	c.held = &d
	return nil
}
