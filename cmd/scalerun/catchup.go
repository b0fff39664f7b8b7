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

// heartbeats reads some of a process's figures.
func (p *proc) figures() map[string]float64 {
	out := map[string]float64{}
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, portInternal+p.admin))
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		name, v, _ := strings.Cut(sc.Text(), " ")
		out[name], _ = strconv.ParseFloat(v, 64)
	}
	return out
}

// catchUp kills a control process, makes changes, starts it again, and times
// until it has the newest, and until it is a member of the view again. Both are
// from the start of the process.
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
	controls := make([]*proc, cli.Control)
	defer func() {
		for _, p := range controls {
			if p != nil {
				p.end()
			}
		}
	}()
	for i := range controls {
		if controls[i], err = startControl(dir, i); err != nil {
			return err
		}
	}
	version, last := 1, cli.Control-1
	if err := post(version); err != nil {
		return err
	}
	again = true
	member := func(most int) func() bool {
		return func() bool {
			g := controls[last].figures()
			return g["slateridge_view_member"] == 1 && g["slateridge_view_members"] == float64(most)
		}
	}
	if _, err := waitFor("all control processes in the view", member(cli.Control)); err != nil {
		return err
	}
	fmt.Fprintf(w, "catching up: %d control processes, configuration of %d bytes\n", cli.Control, len(configuration(version)))
	fmt.Fprintln(w, "  changes missed, posted in s, newest state after s, member again after s, KB taken in until it had the newest, its store KB")
	row := func(what string, missed int, wipe bool) error {
		controls[last].end()
		controls[last] = nil
		if wipe {
			if err := os.RemoveAll(dataFolder(dir, last)); err != nil {
				return err
			}
		}
		began := time.Now()
		for range missed {
			version++
			if err := post(version); err != nil {
				return err
			}
		}
		posted := time.Since(began)
		began = time.Now()
		if controls[last], err = startControl(dir, last); err != nil {
			return err
		}
		var in float64
		newest, err := waitFor("the newest state", func() bool {
			g := controls[last].figures()
			in = g[`slateridge_internal_bytes_total{dir="in"}`]
			return g["slateridge_config_version"] == float64(version)
		})
		if err != nil {
			return err
		}
		if _, err := waitFor("a member again", member(cli.Control)); err != nil {
			return err
		}
		back := time.Since(began)
		var size int64
		if fi, err := os.Stat(dataFolder(dir, last) + "/slateridge.db"); err == nil {
			size = fi.Size()
		}
		fmt.Fprintf(w, "  %s, %.1f, %.2f, %.2f, %.0f, %.0f\n", what, posted.Seconds(), newest.Seconds(), back.Seconds(), in/1e3, float64(size)/1e3)
		return nil
	}
	for _, n := range cli.Missed {
		if err := row(strconv.Itoa(n), n, false); err != nil {
			return err
		}
	}
	return row(fmt.Sprintf("1 and an empty disk (%d in all)", version), 1, true)
}
