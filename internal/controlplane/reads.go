package controlplane

import (
	"slices"
	"time"
)

// Reads: answered by the tail, once a majority of the voters has confirmed that its
// view still stands.

// Read starts a read of what is in force.
func (c *Chain) Read(now time.Duration, id uint64) []any {
	c.now = now
	if m := c.agreement.View.Members; len(m) > 0 {
		c.send(m[len(m)-1].Addr, Read{id})
	}
	return c.flush()
}

func (c *Chain) onRead(from string, m Read) {
	v := c.agreement.View
	if !c.member() || v.Members[len(v.Members)-1] != c.Me {
		return
	}
	c.nonce++
	if from == c.Me.Addr {
		from = ""
	}
	r := &reading{id: m.ID, from: from, nonce: c.nonce, began: c.now, sent: c.now, confirmed: map[Member]bool{}}
	if c.agreement.View.votes(c.Me) && !c.sealed() {
		r.confirmed[c.Me] = true
	}
	c.reads = append(c.reads, r)
	c.answerReads()
	if !c.sealed() {
		c.others(func(p string) { c.send(p, Confirm{v.Num, r.nonce}) })
	}
}

func (c *Chain) onConfirmed(from string, m Confirmed) {
	// Once a majority of the voters was unsealed after the read came, no later
	// view had been decided when it did.
	if !c.member() || c.sealed() || !c.agreement.View.votes(m.Me) {
		return
	}
	for _, r := range c.reads {
		if r.nonce == m.Nonce {
			r.confirmed[m.Me] = true
		}
	}
	c.answerReads()
}

// answerReads answers confirmed reads once all that is held here has been
// committed: a tail that was started again has forgotten what it committed, but
// held it then, and what others tell of may be older.
func (c *Chain) answerReads() {
	if !c.member() || c.sealed() {
		return
	}
	if revisionOf(c.committed).Less(revisionOf(c.held)) {
		return
	}
	c.reads = slices.DeleteFunc(c.reads, func(r *reading) bool {
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
