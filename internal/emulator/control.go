package emulator

import (
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/counter"
	"slateridge/internal/simnet"
)

// controlTick is the tick interval of a control machine.
const controlTick = 25 * time.Millisecond

// Control is a control machine that keeps the accounts with the real code. The world assigns
// its leases.
type Control struct {
	Name        string
	Up          bool
	Incarnation int
	FrozenUntil time.Duration
	Disk        *simnet.Disk
	Holder      *accounts.Replica
	world       *World
	clockStart  time.Duration // simulated time at which its monotonic clock was zero
}

// NewControl adds a control machine and starts it.
func (w *World) NewControl(name string) *Control {
	c := &Control{Name: name, Disk: simnet.NewDisk(), world: w}
	w.Controls[name] = c
	w.controlNames = append(w.controlNames, name)
	c.start(true)
	return c
}

// Start starts a process with the current content of the disk.
func (c *Control) Start() {
	if !c.Up {
		c.start(false)
	}
}

func (c *Control) start(founding bool) {
	c.Up = true
	c.Incarnation++
	c.clockStart = c.world.Now - time.Duration(c.world.Rng.IntN(1000))*time.Millisecond
	c.Holder = accounts.NewReplica(c.Name, c.world.Objectives, c.world.Options, c.Disk, founding, uint64(c.Incarnation), func(string, string) {})
	c.tick(c.Incarnation)
}

// Kill ends the process and keeps its disk.
func (c *Control) Kill() { c.Up = false }

// Wipe ends the process and erases the disk.
func (c *Control) Wipe() {
	c.Up = false
	c.Disk = simnet.NewDisk()
}

// Freeze pauses the process for a time span.
func (c *Control) Freeze(span time.Duration) { c.FrozenUntil = c.world.Now + span }

// Now returns the process's monotonic clock.
func (c *Control) Now() time.Duration { return c.world.Now - c.clockStart }

func (c *Control) whenRunning(incarnation int, do func()) {
	if !c.Up || c.Incarnation != incarnation {
		return
	}
	if wait := c.FrozenUntil - c.world.Now; wait > 0 {
		c.world.After(wait, func() { c.whenRunning(incarnation, do) })
		return
	}
	do()
}

func (c *Control) tick(incarnation int) {
	if !c.Up || c.Incarnation != incarnation {
		return
	}
	c.world.After(controlTick, func() { c.tick(incarnation) })
	if c.FrozenUntil > c.world.Now {
		return
	}
	c.sendAll(c.Holder.Tick(c.Now(), c.leads, c.world.controlNames))
	c.world.observe(c)
}

func (c *Control) leads(shard int) bool { return c.world.LeaseHolders[shard] == c.Name }

func (c *Control) handleReport(report accounts.Report) accounts.ReportAck {
	return c.Holder.HandleReport(report, report.Shard >= 0 && report.Shard < len(c.world.LeaseHolders) && c.leads(report.Shard))
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
