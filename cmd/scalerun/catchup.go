package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// metrics reads the metrics of the process, keyed by name and labels. It returns an empty map
// if the process doesn't respond.
func (p *process) metrics() map[string]float64 {
	values := map[string]float64{}
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, portInternal+p.admin))
	if err != nil {
		return values
	}
	defer resp.Body.Close()
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		values[name], _ = strconv.ParseFloat(value, 64)
	}
	return values
}

// catchUp kills a control process, posts changes, restarts the process and measures how long it
// takes to have the newest state and to be a member of the view again. Both times count from
// the restart.
func catchUp(w io.Writer) error {
	if cli.Control < 5 {
		return errors.New("--catch-up needs five control processes at least: the settings ask for two that may be lost")
	}
	dir, err := os.MkdirTemp("", "scalerun")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if _, err := startPlatform(); err != nil {
		return err
	}
	c := &catchUpTrial{w: w, dir: dir, controls: make([]*process, cli.Control), version: 1}
	defer c.stop()
	if err := c.start(); err != nil {
		return err
	}
	for _, n := range cli.Missed {
		if err := c.measureRow(strconv.Itoa(n), n, false); err != nil {
			return err
		}
	}
	return c.measureRow(fmt.Sprintf("1 and an empty disk (%d in all)", c.version), 1, true)
}

// catchUpTrial holds the control processes of a trial; each row kills and restarts the last one.
type catchUpTrial struct {
	w        io.Writer
	dir      string
	controls []*process
	version  int // newest configuration version
}

func (c *catchUpTrial) stop() {
	for _, p := range c.controls {
		if p != nil {
			p.kill()
		}
	}
}

// lastIndex is the index of the process that is killed.
func (c *catchUpTrial) lastIndex() int { return len(c.controls) - 1 }

// start starts all processes and waits until they form one chain.
func (c *catchUpTrial) start() error {
	for i := range c.controls {
		p, err := startControl(c.dir, i)
		if err != nil {
			return err
		}
		c.controls[i] = p
	}
	if err := postConfiguration(c.version); err != nil {
		return err
	}
	clusterStarted = true
	if _, err := waitFor("all control processes in the view", c.lastIsMember); err != nil {
		return err
	}
	fmt.Fprintf(c.w, "catching up: %d control processes, configuration of %d bytes\n", cli.Control, len(configuration(c.version)))
	fmt.Fprintln(c.w, "  changes missed, posted in s, newest state after s, member again after s, KB taken in until it had the newest, its store KB")
	return nil
}

// lastIsMember reports whether the last process is a member of a view that contains all processes.
func (c *catchUpTrial) lastIsMember() bool {
	metrics := c.controls[c.lastIndex()].metrics()
	return metrics["slateridge_view_member"] == 1 && metrics["slateridge_view_members"] == float64(cli.Control)
}

// measureRow kills the last process, posts changes, restarts the process and prints how long it
// took to catch up. With wipe its data directory is deleted first.
func (c *catchUpTrial) measureRow(name string, missed int, wipe bool) error {
	last := c.lastIndex()
	c.controls[last].kill()
	c.controls[last] = nil
	if wipe {
		if err := os.RemoveAll(dataDirectory(c.dir, last)); err != nil {
			return err
		}
	}
	started := time.Now()
	for range missed {
		c.version++
		if err := postConfiguration(c.version); err != nil {
			return err
		}
	}
	posted := time.Since(started)
	started = time.Now()
	restarted, err := startControl(c.dir, last)
	if err != nil {
		return err
	}
	c.controls[last] = restarted
	var bytesIn float64
	newest, err := waitFor("the newest state", func() bool {
		metrics := restarted.metrics()
		bytesIn = metrics[`slateridge_internal_bytes_total{dir="in"}`]
		return metrics["slateridge_config_version"] == float64(c.version)
	})
	if err != nil {
		return err
	}
	if _, err := waitFor("a member again", c.lastIsMember); err != nil {
		return err
	}
	member := time.Since(started)
	var size int64
	if info, err := os.Stat(dataDirectory(c.dir, last) + "/slateridge.db"); err == nil {
		size = info.Size()
	}
	fmt.Fprintf(c.w, "  %s, %.1f, %.2f, %.2f, %.0f, %.0f\n", name, posted.Seconds(), newest.Seconds(), member.Seconds(), bytesIn/1e3, float64(size)/1e3)
	return nil
}
