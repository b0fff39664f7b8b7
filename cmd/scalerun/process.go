package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/settings"
	"slateridge/internal/transport"
)

func controlIP(i int) string { return fmt.Sprintf("127.10.0.%d", i+1) }

func hollowIP(i int) string { return fmt.Sprintf("127.20.%d.%d", i/250, i%250+1) }

type proc struct {
	name, ip string
	admin    int
	cmd      *exec.Cmd
}

func start(dir, role, name, ip, data string, admin int) (*proc, error) {
	path := filepath.Join(dir, name+".json")
	b, _ := json.Marshal(bootSettings(name, ip, "z0", data))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	c := exec.Command(cli.Program, role)
	c.Env = append(os.Environ(), settings.EnvFile+"="+path)
	if cli.Verbose {
		c.Stderr = os.Stderr
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &proc{name, ip, admin, c}, c.Start()
}

// reading is what a process has used since its start.
type reading struct {
	at                      time.Time
	cpu                     time.Duration
	bytesIn, bytesOut       float64
	messagesIn, messagesOut float64
}

// cpu is the processor time a process has used.
func cpu(pid int) time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.Atoi(f[11])
	s, _ := strconv.Atoi(f[12])
	return time.Duration(u+s) * 10 * time.Millisecond
}

func rss(pid int) (mb float64) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v, ok := strings.CutPrefix(sc.Text(), "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// read takes a process's processor time and traffic at this moment.
func (p *proc) read() reading {
	r := reading{at: time.Now(), cpu: cpu(p.cmd.Process.Pid)}
	f := p.figures()
	r.bytesIn = f[`slateridge_internal_bytes_total{dir="in"}`]
	r.bytesOut = f[`slateridge_internal_bytes_total{dir="out"}`]
	r.messagesIn = f[`slateridge_internal_messages_total{dir="in"}`]
	r.messagesOut = f[`slateridge_internal_messages_total{dir="out"}`]
	return r
}

func here() reading {
	t := &transport.Traffic
	return reading{time.Now(), cpu(os.Getpid()), float64(t.InBytes.Load()), float64(t.OutBytes.Load()), float64(t.In.Load()), float64(t.Out.Load())}
}

func dataFolder(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("data-%d", i)) }

func startControl(dir string, i int) (*proc, error) {
	data := dataFolder(dir, i)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, err
	}
	return start(dir, "control", fmt.Sprintf("control-%d", i), controlIP(i), data, constants.PortControlAdmin)
}

func (p *proc) end() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}
