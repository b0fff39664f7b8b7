package chain

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"slateridge/internal/config"
)

// Keys of what the chain keeps in its store; the bulks have theirs in bulkKeys.
const (
	incarnationKey = "incarnation" // uint64: tells the lives of a disk apart
	agreementKey   = "agreement"   // agreement
	heldKey        = "held"        // config.Doc, without its bulk
	oldVotersKey   = "peers"       // []string: the voters, written before views named them
)

// foundersIncarnation is that of every founder's disk, so that each can name the others.
const foundersIncarnation = 1

var errBulkMissing = errors.New("the configuration that the kept state names is not there")

// New builds the machine from its store, knowing some control machines.
// With founding set and an empty store the first view is made of them; otherwise
// a machine without a history takes part in nothing until a view takes it in.
func New(now time.Duration, addr string, peers []string, founding bool, store Store, rng *rand.Rand) (*Chain, error) {
	c := &Chain{
		seeds:                  peers,
		peers:                  slices.Clone(peers),
		store:                  store,
		rng:                    rng,
		now:                    now,
		started:                now,
		lastTick:               now,
		peerStates:             map[string]*peerState{},
		pendingConfigs:         map[config.Taken]config.Doc{},
		pendingConfigSince:     map[config.Taken]time.Duration{},
		pendingEvacuations:     map[uint64]EvacuationOrder{},
		pendingEvacuationSince: map[uint64]time.Duration{},
		departures:             map[string]time.Duration{},
		retire:                 map[string]time.Duration{},
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
	c.rounds = c.agreement.Promised.Round
	return c, nil
}

// loadIncarnation is the life of this machine's disk. An empty disk begins one, and with it
// an agreement: on the first view when it founds, or else on none.
func (c *Chain) loadIncarnation(addr string, founding bool) (uint64, error) {
	var incarnation uint64
	if c.store.Get(incarnationKey, &incarnation) {
		return incarnation, nil
	}
	incarnation = c.rng.Uint64() | 2
	a := agreement{}
	// A founder that ended between these two writes founds all the same: it has said
	// nothing yet, and were all to come back as newcomers, nobody would have founded.
	if c.store.Get(agreementKey, &a) && a.Joined && a.View.Num == 1 && a.View.HasMember(Member{addr, foundersIncarnation}) {
		founding, c.peers = true, nil
		for _, m := range a.View.Members {
			c.addPeer(m.Addr)
		}
		a = agreement{}
	}
	if founding {
		incarnation = foundersIncarnation
		a.Joined, a.View = true, firstView(c.peers)
	}
	if err := c.store.Put(agreementKey, a); err != nil {
		return 0, err
	}
	if err := c.store.Put(incarnationKey, incarnation); err != nil {
		return 0, err
	}
	return incarnation, nil
}

// firstView is the view that its founders make.
func firstView(founders []string) View {
	v := View{Num: 1, Epoch: 1, Base: len(founders)}
	for _, f := range founders {
		v.Members = append(v.Members, Member{f, foundersIncarnation})
	}
	v.Voters = slices.Clone(v.Members)
	return v
}

// loadAgreement takes up what this machine has agreed to.
func (c *Chain) loadAgreement() {
	c.store.Get(agreementKey, &c.agreement)
	if v := &c.agreement.View; len(v.Voters) == 0 && len(v.Members) > 0 {
		// Written before views named their voters: those were fixed, and those
		// of them outside the view are strangers until it takes them in.
		var old []string
		c.store.Get(oldVotersKey, &old)
		v.Voters, v.Epoch = slices.Clone(v.Members), 1
		for _, p := range old {
			if v.index(p) < 0 {
				v.Voters = append(v.Voters, Member{Addr: p})
			}
		}
	}
	for _, m := range c.agreement.View.Voters {
		c.addPeer(m.Addr)
	}
}

// loadHeld takes up the newest state on disk and fills in its bulk.
func (c *Chain) loadHeld() error {
	var d config.Doc
	if !c.store.Get(heldKey, &d) {
		return nil
	}
	if d.Stamp == (config.Revision{}) {
		d.Stamp.Seq = d.Version // written when versions alone ordered states
	}
	if d.Raw != nil && d.Sum == 0 {
		d.Sum = config.SumOf(d.Raw)
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
	d.Complete()
	c.held = &d
	return nil
}
