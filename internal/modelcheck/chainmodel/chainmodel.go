// Package chainmodel has package modelcheck drive the chain of control machines: founders
// and newcomers, operators that order and ask again after lost answers, and the rules that
// must hold through all of it.
package chainmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane"
	"slateridge/internal/lease"
	"slateridge/internal/modelcheck"
	"slateridge/internal/simnet"
)

// The rules, by the names under which a broken one is reported.
const (
	RuleOneView    = "one view a number"
	RuleOneContent = "one content a number"
	RuleOneState   = "one state a revision"
	RuleForward    = "never back"
	RuleFreshRead  = "no old read"
	RuleLateOrder  = "no order undoes one sent after its end"
	RuleVoters     = "only voters promise and accept"
	RuleServes     = "orders are confirmed after quiet"
	RuleAnswers    = "reads are answered after quiet"
	RuleStarts     = "a kept disk is enough to start"
	RuleLeaves     = "an orderly leave ends in time while all is well"
)

// Config bounds a model.
type Config struct {
	Founders  int
	Newcomers int
	Tolerate  int
	Operators int
	Faults    int           // most in a schedule; a repair is not one
	Orders    int           // most in a schedule, reads and evacuations too
	Step      time.Duration // of the default, between two places for a choice
	Messages  bool          // also before each message of the protocol, those of the machines' regular word apart
	Duties    bool          // machines lease a duty, and act at a platform under its fence
	Kinds     []string      // of choices; empty: all
	Without   []string      // kinds left out
	Reckless  bool          // disks may be lost at any time: more than is promised, to see that it shows
	Warm      time.Duration // before the first choice
	CatchUp   time.Duration // without trouble before a disk may be lost: one machine at a time
	Settle    time.Duration // after quiet, before orders must be served
	Serve     time.Duration // within which an order is confirmed and a read answered then
	LongAgo   time.Duration // longer than any time that the chain itself waits for anything
}

// Small is three founders and two newcomers with up to four faults.
func Small() Config {
	return Config{Founders: 3, Newcomers: 2, Tolerate: 1, Operators: 2, Faults: 4, Orders: 4, Step: 2 * time.Second,
		Warm: 4 * time.Second, CatchUp: 4 * time.Second, Settle: 6 * time.Second, Serve: 3 * time.Second, LongAgo: 5 * time.Second}
}

// Five is five machines, of which two may be lost at once, with up to four faults.
func Five() Config {
	c := Small()
	c.Founders, c.Newcomers, c.Tolerate, c.Operators = 5, 0, 2, 1
	return c
}

// Order is an operator's configuration sent at a machine and waited for.
type Order struct {
	Operator string
	Version  uint64
	Content  string
}

// Confirms says whether a state that a machine knows to be in force confirms an
// order that waits there, as the API judges it.
func Confirms(in *config.Doc, o Order) bool {
	if in == nil {
		return false
	}
	sum, ok := in.Ledger.Find(o.Version)
	return ok && sum == config.SumOf([]byte(o.Content))
}

// submit hands an order to a machine.
func submit(c *controlplane.Chain, now time.Duration, o Order) []any {
	return c.Submit(now, config.Doc{Version: o.Version, Raw: []byte(o.Content)})
}

// waiting is a call of an operator that has no answer yet.
type waiting struct {
	Order
	at time.Duration
}

type reading struct {
	began   time.Duration
	version uint64            // confirmed when it began
	evacs   map[string]uint64 // likewise, by zone
}

type evacuation struct {
	zone string
	on   bool
}

type state struct {
	version uint64
	content string
}

// Model is the chain as package modelcheck drives it.
type Model struct {
	Config
	world *modelcheck.World
	chain map[string]*controlplane.Chain
	disks map[string]*simnet.Disk
	grid  time.Duration
	err   error

	faults, orders, came int
	ids                  uint64
	spares               []string         // machines stopped within what is tolerated, the first while all was whole
	losses               int              // machines stopped or lost since all was whole, as long as no other trouble came
	lossAt               time.Duration    // the latest of them
	leaving              map[string]leave // machines that stop in order
	last                 map[string]Order // by operator
	highestVersion       uint64           // highest version sent
	waiters              map[string][]waiting
	reads                map[string]map[uint64]reading
	evacs                map[string]map[uint64]evacuation

	confirmed   map[uint64]string // by version: its content
	acked       uint64            // the highest version confirmed
	evacAcked   map[string]uint64
	evacSent    map[uint64]time.Duration
	views       map[uint64]string
	viewOf      map[string]uint64
	states      map[config.Revision]state
	inForce     map[string]*config.Doc // of a process
	dutyHolders map[string]*dutyHolder
	platform    platform
	answers     int // reads answered
	confirms    int
	left        int // orderly leaves that ended with a view without the leaver
}

// New makes one.
func New(c Config) *Model { return &Model{Config: c} }

var names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// skip are the marks of moments that are numbers, not durations, and so differ
// each time.
var skip = []string{"Heartbeat.At", "Heartbeat.Echo", "Heartbeat.Wall", "Chain.readIndexAt"}

func (m *Model) Reset() {
	m.world = modelcheck.NewWorld(constants.ChainTick, m.tick, m.recv)
	m.chain, m.disks = map[string]*controlplane.Chain{}, map[string]*simnet.Disk{}
	m.grid, m.err = m.Warm, nil
	m.faults, m.orders, m.came, m.ids, m.highestVersion = 0, 0, 0, 0, 0
	m.spares, m.losses, m.lossAt, m.leaving = nil, 0, 0, map[string]leave{}
	m.last, m.waiters = map[string]Order{}, map[string][]waiting{}
	m.reads, m.evacs = map[string]map[uint64]reading{}, map[string]map[uint64]evacuation{}
	m.confirmed, m.acked, m.evacAcked = map[uint64]string{}, 0, map[string]uint64{}
	m.evacSent = map[uint64]time.Duration{}
	m.views, m.viewOf, m.states, m.inForce = map[uint64]string{}, map[string]uint64{}, map[config.Revision]state{}, map[string]*config.Doc{}
	m.answers, m.confirms, m.left = 0, 0, 0
	m.dutyHolders, m.platform = map[string]*dutyHolder{}, platform{holderOf: map[uint64]string{}, bodies: map[uint64]string{}}
	for _, n := range names[:m.Founders] {
		m.start(n, true)
	}
	m.world.Run(m.Warm, nil, m.healthy)
	m.world.Trouble = 0
}

// healthy checks what must hold at every moment.
func (m *Model) healthy() bool {
	if m.Duties {
		m.oneHolder()
	}
	return m.err == nil
}

func (m *Model) broken(rule, f string, a ...any) {
	if m.err == nil {
		m.err = modelcheck.Broken(rule, "at %v: %s", m.world.Now, fmt.Sprintf(f, a...))
	}
}

func (m *Model) Check() error { return m.err }

// ---- machines

// start brings a machine's process up: a founder, a newcomer that is told the
// others, or one that comes back.
func (m *Model) start(n string, founding bool) {
	if m.disks[n] == nil {
		m.disks[n] = simnet.NewDisk()
	}
	m.disks[n].Recover() // a new process opens it anew
	peers := names[:m.Founders]
	if !founding {
		peers = append(slices.Clone(m.world.Names), n)
	}
	rng := rand.New(rand.NewPCG(uint64(n[0]), uint64(m.world.Life(n)+1)))
	c, err := controlplane.NewChain(m.world.Now, n, slices.Clone(peers), founding, m.disks[n], rng)
	if err != nil {
		if !m.disks[n].Refuse {
			m.broken(RuleStarts, "%s: %v", n, err)
		}
		return // it stays down
	}
	c.Tolerate = m.Tolerate
	m.chain[n] = c
	m.inForce[n], m.waiters[n] = nil, nil
	m.reads[n], m.evacs[n] = map[uint64]reading{}, map[uint64]evacuation{}
	m.viewOf[n] = 0
	m.startDuties(n)
	m.world.Start(n)
}

func (m *Model) stop(n string) {
	m.world.Stop(n)
	delete(m.leaving, n)
	m.chain[n], m.dutyHolders[n] = nil, nil
	m.waiters[n], m.reads[n], m.evacs[n] = nil, nil, nil
}

// restartLater starts a stopped machine a little later.
func (m *Model) restartLater(n string) {
	life := m.world.Life(n)
	m.world.After(modelcheck.Stall, func() {
		if m.world.Life(n) == life && slices.Contains(m.world.Names, n) {
			m.start(n, false)
			m.world.Trouble = m.world.Now
		}
	})
}

// quit stops a machine in order, as its daemon does: its leases are handed over, the
// others are told, and it waits for a view without it, if they can make one.
func (m *Model) quit(n string, forGood bool) {
	well := m.allHealthy() && m.chain[n].CanLeave() && len(m.leaving) == 0
	m.lose(n, true)
	if o := m.dutyHolders[n]; o != nil {
		m.sendLease(n, o.lease.Leave(m.world.Now))
	}
	m.leaving[n] = leave{m.world.Now, m.world.Life(n), m.faults, forGood, well}
	m.run(n, func(c *controlplane.Chain) []any { return c.Leave(m.world.Now) })
	m.awaitLeft(n, m.leaving[n])
}

// leave is a machine's orderly stop under way.
type leave struct {
	began   time.Duration
	life    int
	faults  int // so far; with one more it may take longer
	forGood bool
	well    bool // all was whole as it began: it has to end in time
}

func (m *Model) awaitLeft(n string, l leave) {
	c := m.chain[n]
	if m.world.Life(n) != l.life || c == nil {
		return // stopped before
	}
	late := m.world.Now-l.began >= constants.LeaveWait
	if !c.Left() && c.CanLeave() && !late || m.world.Frozen(n) {
		m.world.After(constants.ChainTick/2, func() { m.awaitLeft(n, l) })
		return
	}
	if !c.Left() && l.well && m.faults == l.faults {
		m.broken(RuleLeaves, "%s stops after %v and is still a member: %s", n, m.world.Now-l.began, m.describe())
	}
	if c.Left() {
		m.left++
	}
	m.stop(n)
	if l.forGood {
		m.world.Leave(n)
	}
}

func (m *Model) tick(n string) {
	m.run(n, func(c *controlplane.Chain) []any { return c.Tick(m.world.Now) })
	m.stepDuties(n)
}

func (m *Model) recv(e *modelcheck.Event) {
	if m.recvLease(e) {
		return
	}
	m.run(e.To, func(c *controlplane.Chain) []any { return c.Recv(m.world.Now, e.From, e.Msg) })
}

// run has a machine do something and checks the rules on what came of it.
func (m *Model) run(n string, f func(*controlplane.Chain) []any) {
	c := m.chain[n]
	if c == nil {
		return
	}
	before := c.View()
	for _, o := range f(c) {
		switch o := o.(type) {
		case controlplane.Send:
			switch s := o.Msg.(type) {
			case controlplane.Promise:
				m.votes(c, before, s.Slot, "promises")
			case controlplane.Accepted:
				m.votes(c, before, s.Slot, "accepts")
			}
			m.world.Send(n, o.To, o.Msg)
		case controlplane.Commit:
			m.commit(n, o.Doc)
		case controlplane.ReadDone:
			m.readDone(n, o)
		}
	}
	if v := c.View(); v.Num != m.viewOf[n] {
		m.viewOf[n] = v.Num
		m.view(n, v)
	}
}

func (m *Model) votes(c *controlplane.Chain, before controlplane.View, slot uint64, does string) {
	for _, v := range []controlplane.View{before, c.View()} {
		if v.Num+1 == slot && slices.Contains(v.Voters, c.Me) {
			return
		}
	}
	m.broken(RuleVoters, "%v %s for view %d, and knows view %d with the voters %v", c.Me, does, slot, before.Num, before.Voters)
}

func (m *Model) view(n string, v controlplane.View) {
	if v.Num == 0 {
		return
	}
	is := fmt.Sprint(v.Members, " of ", v.Voters)
	if was, ok := m.views[v.Num]; ok && was != is {
		m.broken(RuleOneView, "%s takes view %d to be %s, it was %s", n, v.Num, is, was)
	}
	m.views[v.Num] = is
}

func (m *Model) commit(n string, d config.Doc) {
	if was := m.inForce[n]; was != nil && d.Stamp.Less(was.Stamp) {
		m.broken(RuleForward, "%s goes back from %v to %v", n, was.Stamp, d.Stamp)
	}
	m.inForce[n] = &d
	is := state{d.Version, string(d.Raw)}
	if was, ok := m.states[d.Stamp]; !ok {
		for s, o := range m.states {
			if s.Less(d.Stamp) && o.version > is.version || d.Stamp.Less(s) && o.version < is.version {
				m.broken(RuleForward, "%v holds r%d, %v holds r%d", s, o.version, d.Stamp, is.version)
			}
		}
		m.states[d.Stamp] = is
	} else if was != is {
		m.broken(RuleOneState, "%s commits r%d %q at %v, it was r%d %q", n, is.version, is.content, d.Stamp, was.version, was.content)
	}
	if was, ok := m.confirmed[d.Version]; ok && was != is.content {
		m.broken(RuleOneContent, "%s has r%d %q in force, %q was confirmed", n, d.Version, is.content, was)
	}
	m.waiters[n] = slices.DeleteFunc(m.waiters[n], func(w waiting) bool { return m.world.Now-w.at > constants.SubmitWait })
	var left []waiting
	for _, w := range m.waiters[n] {
		if !Confirms(&d, w.Order) {
			left = append(left, w)
		} else {
			m.confirm(n, w.Order)
		}
	}
	m.waiters[n] = left
	for z, e := range d.Evac {
		for i, id := range e.IDs {
			for _, before := range e.IDs[:i] {
				if end := m.evacSent[id] + constants.SubmitWait; end < m.evacSent[before] {
					m.broken(RuleLateOrder, "%s: zone %s: the order of %v, answered for by %v, takes effect after that of %v", n, z, m.evacSent[id], end, m.evacSent[before])
				}
			}
			o, ok := m.evacs[n][id]
			if !ok {
				continue
			}
			delete(m.evacs[n], id)
			if i == len(e.IDs)-1 && e.On != o.on {
				m.broken(RuleForward, "%s: order %v on zone %s confirmed, it is %v", n, o.on, z, e.On)
			}
			m.evacAcked[z] = max(m.evacAcked[z], e.Num-uint64(len(e.IDs)-1-i))
		}
	}
}

// confirm is an operator told that its order is taken.
func (m *Model) confirm(n string, o Order) {
	if was, ok := m.confirmed[o.Version]; ok && was != o.Content {
		m.broken(RuleOneContent, "%s confirms r%d %q to %s, %q was confirmed", n, o.Version, o.Content, o.Operator, was)
	}
	for at, s := range m.states {
		if s.version == o.Version && s.content != o.Content {
			m.broken(RuleOneContent, "%s confirms r%d %q to %s, %q was committed at %v", n, o.Version, o.Content, o.Operator, s.content, at)
		}
	}
	m.confirmed[o.Version] = o.Content
	m.acked = max(m.acked, o.Version)
	m.confirms++
}

func (m *Model) readDone(n string, o controlplane.ReadDone) {
	r, ok := m.reads[n][o.ID]
	delete(m.reads[n], o.ID)
	if !ok || m.world.Now-r.began > constants.SubmitWait {
		return // its caller has gone
	}
	m.answers++
	var v uint64
	if o.Doc != nil {
		v = o.Doc.Version
		if was, ok := m.confirmed[v]; ok && was != string(o.Doc.Raw) {
			m.broken(RuleOneContent, "a read at %s gives r%d %q, %q was confirmed", n, v, o.Doc.Raw, was)
		}
	}
	if v < r.version {
		m.broken(RuleFreshRead, "a read at %s gives r%d, r%d was confirmed before it began", n, v, r.version)
	}
	for z, num := range r.evacs {
		if o.Doc == nil || o.Doc.Evac[z].Num < num {
			m.broken(RuleFreshRead, "a read at %s lacks order %d on zone %s, confirmed before it began", n, num, z)
		}
	}
}

// ---- operators

// order sends an operator's configuration to a machine.
func (m *Model) order(n string, o Order) {
	m.last[o.Operator] = o
	m.highestVersion = max(m.highestVersion, o.Version)
	if m.chain[n] == nil || m.world.Frozen(n) {
		return // no answer
	}
	if Confirms(m.inForce[n], o) {
		m.confirm(n, o)
		return
	}
	m.waiters[n] = append(m.waiters[n], waiting{o, m.world.Now})
	m.run(n, func(c *controlplane.Chain) []any { return submit(c, m.world.Now, o) })
}

func (m *Model) read(n string) {
	if m.chain[n] == nil || m.world.Frozen(n) {
		return
	}
	m.ids++
	evacs := map[string]uint64{}
	for z, k := range m.evacAcked {
		evacs[z] = k
	}
	m.reads[n][m.ids] = reading{m.world.Now, m.acked, evacs}
	id := m.ids
	m.run(n, func(c *controlplane.Chain) []any { return c.Read(m.world.Now, id) })
}

func (m *Model) evacuate(n string, on bool) {
	if m.chain[n] == nil || m.world.Frozen(n) {
		return
	}
	m.ids++
	id := m.ids
	m.evacSent[id] = m.world.Now
	m.evacs[n][id] = evacuation{"z", on}
	m.run(n, func(c *controlplane.Chain) []any { return c.Evacuate(m.world.Now, id, "z", on) })
}

// ---- choices

// regular are words that machines say all the time and that come again.
func regular(msg any) bool {
	switch msg.(type) {
	case controlplane.Heartbeat, lease.Request, lease.Grant:
		return true
	}
	return false
}

func (m *Model) atMessage() *modelcheck.Event {
	if e := m.world.Head(); m.Messages && e != nil && !regular(e.Msg) {
		return e
	}
	return nil
}

// allHealthy says whether a disk may be lost: all machines are up and one chain, and
// have had the time to catch up.
func (m *Model) allHealthy() bool {
	if m.Reckless {
		return true
	}
	if m.world.Parted() || len(m.world.Names) < m.Founders || m.world.Now-m.world.Trouble < m.CatchUp {
		return false
	}
	for _, n := range m.world.Names {
		if m.chain[n] == nil || m.world.Frozen(n) || m.disks[n].Refuse || m.disks[n].Failed() || !slices.ContainsFunc(m.chain[m.world.Names[0]].View().Members, func(x controlplane.Member) bool { return x == m.chain[n].Me }) {
			return false
		}
	}
	return true
}

// mayLose says whether one more machine, or disk, may be lost by what is promised:
// all is whole, or nothing but tolerated losses has happened since it was.
func (m *Model) mayLose() bool {
	return m.allHealthy() || m.losses > 0 && m.losses < m.Tolerate && m.world.Trouble == m.lossAt
}

// lose notes that a machine is stopped or lost; spare says that the others have to
// do without it.
func (m *Model) lose(n string, spare bool) {
	if m.allHealthy() {
		m.losses, m.spares = 0, nil
	} else if !m.mayLose() {
		return
	}
	m.losses++
	m.lossAt = m.world.Now
	if spare {
		m.spares = append(m.spares, n)
	}
}

// faultKinds count as faults; the others repair, or are work.
var faultKinds = []string{"isolate", "mute", "deafen", "cut", "part", "freeze", "lose", "double", "late", "restart", "stop", "power", "fill", "wipe", "leave", "quit", "depart", "outage"}

// ChoiceKinds names all kinds of choices.
var ChoiceKinds = append(slices.Clone(faultKinds), "join", "thaw", "start", "clear", "recover", "come", "order", "again", "read", "evacuate")

func (m *Model) Choices() []string {
	out := []string{"wait"}
	add := func(ws ...string) {
		for _, w := range ws {
			if kind := strings.Fields(w)[0]; modelcheck.Offered(kind, m.Kinds, m.Without) && (m.faults < m.Faults || !slices.Contains(faultKinds, kind)) {
				out = append(out, w)
			}
		}
	}
	if e := m.atMessage(); e != nil {
		add(m.world.OnHead()...)
	}
	for _, n := range m.world.Names {
		if m.world.Up(n) {
			add("restart "+n, "stop "+n)
			if _, ok := m.leaving[n]; !ok && !m.world.Frozen(n) {
				add("quit " + n)
			}
		} else {
			add("start " + n)
		}
	}
	add("power")
	for _, n := range m.world.Names {
		if m.disks[n].Refuse {
			add("clear " + n)
		} else {
			add("fill " + n)
		}
	}
	if m.mayLose() {
		for _, n := range m.world.Names {
			if _, ok := m.leaving[n]; !ok && m.world.Up(n) {
				add("wipe "+n, "leave "+n, "depart "+n)
			}
		}
	}
	if m.Duties && m.platform.down {
		add("recover")
	} else if m.Duties {
		add("outage")
	}
	if m.came < m.Newcomers {
		add("come " + names[m.Founders+m.came])
	}
	add(m.world.Freezes()...)
	add(m.world.Paths()...)
	if m.orders < m.Orders {
		for _, n := range m.world.Names {
			if !m.world.Up(n) {
				continue
			}
			for i := range m.Operators {
				p := string(rune('p' + i))
				add(fmt.Sprintf("order %s at %s: r%d", p, n, m.highestVersion+1))
				if m.highestVersion > 0 && m.last[p].Version != m.highestVersion {
					add(fmt.Sprintf("order %s at %s: r%d", p, n, m.highestVersion))
				}
				if m.last[p].Version > 0 {
					add(fmt.Sprintf("again %s at %s", p, n))
				}
			}
			add("read "+n, "evacuate "+n+" on", "evacuate "+n+" off")
		}
	}
	return out
}

func (m *Model) Apply(n int) {
	if n == 0 {
		m.world.Run(m.grid, func(*modelcheck.Event) bool { return m.atMessage() != nil }, m.healthy)
		if m.world.Now >= m.grid {
			m.grid += m.Step
		}
		return
	}
	word := m.Choices()[n]
	f := strings.Fields(word)
	if slices.Contains(faultKinds, f[0]) {
		m.faults++
	}
	if m.world.Do(word) {
		return
	}
	switch f[0] {
	case "restart":
		m.stop(f[1])
		m.restartLater(f[1])
	case "stop":
		m.lose(f[1], true)
		m.stop(f[1])
	case "quit", "depart":
		m.quit(f[1], f[0] == "depart")
	case "start":
		m.spares = nil
		m.start(f[1], false)
	case "power":
		for _, n := range m.world.Names {
			m.stop(n)
			m.restartLater(n)
		}
	case "fill", "clear":
		m.disks[f[1]].Refuse = f[0] == "fill"
	case "outage", "recover":
		m.platform.down = f[0] == "outage"
	case "wipe":
		m.lose(f[1], false)
		m.stop(f[1])
		m.disks[f[1]] = simnet.NewDisk()
		m.restartLater(f[1])
	case "leave":
		m.lose(f[1], false)
		m.stop(f[1])
		m.world.Leave(f[1])
	case "come":
		m.came++
		m.start(f[1], false)
	default:
		m.orders++
		switch f[0] {
		case "order":
			v, _ := strconv.ParseUint(strings.TrimPrefix(f[4], "r"), 10, 64)
			m.order(strings.TrimSuffix(f[3], ":"), Order{f[1], v, fmt.Sprintf("r%d by %s", v, f[1])})
		case "again":
			m.order(f[3], m.last[f[1]])
		case "read":
			m.read(f[1])
		case "evacuate":
			m.evacuate(f[1], f[2] == "on")
		}
		return // no trouble
	}
	m.world.Trouble = m.world.Now
}

func (m *Model) Hash() uint64 {
	a := modelcheck.Abstraction{LongAgo: m.LongAgo, Skip: skip}
	parts := []any{m.spares, m.losses, m.lossAt == m.world.Trouble, m.leaving, m.faults, m.orders, m.came, m.highestVersion, m.last, m.confirmed, m.evacAcked, m.evacSent, m.states, m.views, m.grid, int(min(m.world.Now-m.world.Trouble, m.CatchUp))}
	for _, n := range m.world.Names {
		parts = append(parts, n, m.disks[n], m.inForce[n] != nil, m.waiters[n], m.reads[n], m.evacs[n])
		if c := m.chain[n]; c != nil {
			parts = append(parts, c)
		}
	}
	if m.Duties {
		parts = append(parts, m.dutiesHash(a))
	}
	return a.Digest(m.world.Now, m.world.Hash(a), a.Digest(m.world.Now, parts...))
}

// Quiet ends all trouble; then every machine must have an order confirmed and a
// read answered. The choices see to it that it may be asked: disks are lost one
// at a time, with the others whole. A machine that was stopped while all was
// whole stays down at first: the others have to do without it.
func (m *Model) Quiet() error {
	m.world.Heal()
	m.platform.down = false
	for _, n := range m.world.Names {
		m.disks[n].Refuse = false
	}
	if len(m.leaving) > 0 {
		m.world.Run(m.world.Now+constants.LeaveWait+constants.ChainTick, nil, m.healthy)
	}
	spared := true
	down := 0
	for _, n := range m.world.Names {
		if m.chain[n] == nil {
			down++
			spared = spared && slices.Contains(m.spares, n)
		}
	}
	if down > 0 && spared {
		m.serve()
	}
	for _, n := range slices.Clone(m.world.Names) {
		if m.chain[n] == nil {
			m.start(n, false)
		}
	}
	m.serve()
	return m.err
}

// serve lets things settle and asks each machine that is up for its service.
func (m *Model) serve() {
	m.world.Run(m.world.Now+m.Settle, nil, m.healthy)
	if m.Duties {
		m.quietDuties()
	}
	var up []string
	for _, n := range m.world.Names {
		if m.chain[n] != nil {
			up = append(up, n)
		}
	}
	for _, n := range up {
		o := Order{"quiet", m.highestVersion + 1, fmt.Sprintf("r%d after quiet", m.highestVersion+1)}
		confirmed := func() bool { _, ok := m.confirmed[o.Version]; return ok }
		until := m.world.Now + m.Serve
		for m.err == nil && !confirmed() && m.world.Now < until {
			m.order(n, o)
			m.world.Run(m.world.Now+constants.SubmitWait, nil, func() bool { return m.healthy() && !confirmed() })
		}
		if m.err == nil && !confirmed() {
			m.broken(RuleServes, "%s: nothing confirmed in %v of quiet and %v: %s", n, m.Settle, m.Serve, m.describe())
		}
	}
	for _, n := range up {
		was, until := m.answers, m.world.Now+m.Serve
		for m.err == nil && m.answers == was && m.world.Now < until {
			m.read(n)
			m.world.Run(m.world.Now+constants.SubmitWait, nil, func() bool { return m.healthy() && m.answers == was })
		}
		if m.err == nil && m.answers == was {
			m.broken(RuleAnswers, "%s: no read answered in %v of quiet and %v: %s", n, m.Settle, m.Serve, m.describe())
		}
	}
}

// describe tells what each machine knows.
func (m *Model) describe() string {
	var out []string
	for _, n := range m.world.Names {
		if c := m.chain[n]; c != nil {
			g := c.Status()
			var ms []string
			for _, x := range g.View.Members {
				ms = append(ms, x.Addr)
			}
			out = append(out, fmt.Sprintf("%s has view %d of %s, voters %s, sealed %v", n, g.View.Num, strings.Join(ms, ""), strings.Join(g.View.VoterAddrs(), ""), g.Sealed))
		}
	}
	return strings.Join(out, "; ")
}
