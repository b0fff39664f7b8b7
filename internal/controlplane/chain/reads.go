package chain

import (
	"slices"
	"time"
)

// Reads are answered by the tail once a majority of the voters has confirmed that it has not
// sealed the tail's view.

// Read starts a read of the committed state.
func (c *Chain) Read(now time.Duration, id uint64) []Effect {
	c.now = now
	if m := c.agreement.View.Members; len(m) > 0 {
		c.send(m[len(m)-1].Addr, Read{id})
	}
	return c.takeEffects()
}

func (c *Chain) onRead(from string, m Read) {
	v := c.agreement.View
	if !c.isMember() || v.Members[len(v.Members)-1] != c.Me {
		return
	}
	c.nonce++
	if from == c.Me.Addr {
		from = ""
	}
	r := &pendingRead{id: m.ID, from: from, nonce: c.nonce, startedAt: c.now, sentAt: c.now, confirmed: map[Member]bool{}}
	if c.agreement.View.hasVoter(c.Me) && !c.sealed() {
		r.confirmed[c.Me] = true
	}
	c.reads = append(c.reads, r)
	c.answerReads()
	if !c.sealed() {
		c.forEachPeer(func(p string) { c.send(p, Confirm{v.Num, r.nonce}) })
	}
}

func (c *Chain) onConfirmed(m Confirmed) {
	// If a majority of the voters was unsealed after the read arrived, no later view had
	// been decided at its arrival.
	if !c.isMember() || c.sealed() || !c.agreement.View.hasVoter(m.Me) {
		return
	}
	for _, r := range c.reads {
		if r.nonce == m.Nonce {
			r.confirmed[m.Me] = true
		}
	}
	c.answerReads()
}

// answerReads answers confirmed reads once everything held here has been committed. A
// restarted tail no longer knows what it committed, although it still holds it, and the
// commits that other machines report may be older.
func (c *Chain) answerReads() {
	if !c.isMember() || c.sealed() {
		return
	}
	if revisionOf(c.committed).Less(revisionOf(c.held)) {
		return
	}
	c.reads = slices.DeleteFunc(c.reads, func(r *pendingRead) bool {
		if len(r.confirmed) < c.majority() {
			return false
		}
		if r.from == "" {
			c.effects = append(c.effects, ReadDone{r.id, c.committed})
		} else {
			c.send(r.from, ReadAnswer{r.id, c.committed})
		}
		return true
	})
}
