package emulator

import (
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
	"slateridge/internal/simnet"
)

// controlTick is the step of a control machine.
const controlTick = 25 * time.Millisecond

// Control is a control machine: it keeps the accounts with the real code. Its leases are
// the world's to give.
type Control struct {
	Name        string
	Up          bool
	Incarnation int
	FrozenUntil time.Duration
	Disk        *simnet.Disk
	Holder      *accounts.Holder
	world       *World
	clockStart  time.Duration // its steady clock counts from here
}

// NewControl makes a control machine and starts it.
func (w *World) NewControl(name string) *Control {
	c := &Control{Name: name, Disk: simnet.NewDisk(), world: w}
	w.Controls[name] = c
	w.controlNames = append(w.controlNames, name)
	c.start(true)
	return c
}

// Start begins a process, on whatever the disk holds.
func (c *Control) Start() {
	if !c.Up {
		c.start(false)
	}
}

func (c *Control) start(founding bool) {
	c.Up = true
	c.Incarnation++
	c.clockStart = c.world.Now - time.Duration(c.world.Rng.IntN(1000))*time.Millisecond
	c.Holder = accounts.NewHolder(c.Name, c.world.Objectives, c.world.Options, c.Disk, founding, uint64(c.Incarnation), func(string, string) {})
	c.tick(c.Incarnation)
}

// Kill ends the process; its disk stays.
func (c *Control) Kill() { c.Up = false }

// Wipe ends the process and loses the disk.
func (c *Control) Wipe() {
	c.Up = false
	c.Disk = simnet.NewDisk()
}

// Freeze has the process stand still for a while.
func (c *Control) Freeze(span time.Duration) { c.FrozenUntil = c.world.Now + span }

// Now is the process's steady clock.
func (c *Control) Now() time.Duration { return c.world.Now - c.clockStart }

func (c *Control) whenRunning(life int, do func()) {
	if !c.Up || c.Incarnation != life {
		return
	}
	if wait := c.FrozenUntil - c.world.Now; wait > 0 {
		c.world.After(wait, func() { c.whenRunning(life, do) })
		return
	}
	do()
}

func (c *Control) tick(life int) {
	if !c.Up || c.Incarnation != life {
		return
	}
	c.world.After(controlTick, func() { c.tick(life) })
	if c.FrozenUntil > c.world.Now {
		return
	}
	c.sendAll(c.Holder.Tick(c.Now(), c.leads, c.world.controlNames))
	c.world.observe(c)
}

func (c *Control) leads(shard int) bool { return c.world.LeaseHolders[shard] == c.Name }

func (c *Control) handleReport(report accounts.Report) accounts.ReportAck {
	return c.Holder.Take(report, report.Shard >= 0 && report.Shard < len(c.world.LeaseHolders) && c.leads(report.Shard))
}

func (c *Control) sendAll(out []counter.Send) {
	for _, send := range out {
		to := c.world.Controls[send.To]
		c.world.sendDuplicated(c.Name, to.Name, func() {
			to.whenRunning(to.Incarnation, func() {
				to.sendAll(to.Holder.Receive(c.Name, send.Message))
				c.world.observe(to)
			})
		})
	}
}
