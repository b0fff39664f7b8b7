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

type process struct {
	name, ip string
	admin    int
	cmd      *exec.Cmd
}

func startProcess(dir, role, name, ip, data string, admin int) (*process, error) {
	path := filepath.Join(dir, name+".json")
	b, _ := json.Marshal(nodeSettings(name, ip, "z0", data))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	c := exec.Command(cli.Program, role)
	c.Env = append(os.Environ(), settings.EnvFile+"="+path)
	if cli.Verbose {
		c.Stderr = os.Stderr
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &process{name, ip, admin, c}, c.Start()
}

// resourceUsage is what a process has used since its start.
type resourceUsage struct {
	at                      time.Time
	cpu                     time.Duration
	bytesIn, bytesOut       float64
	messagesIn, messagesOut float64
}

// cpuTime is the processor time a process has used.
func cpuTime(pid int) time.Duration {
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

func peakMemoryMB(pid int) (mb float64) {
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

// usage takes a process's processor time and traffic at this moment.
func (p *process) usage() resourceUsage {
	r := resourceUsage{at: time.Now(), cpu: cpuTime(p.cmd.Process.Pid)}
	f := p.metrics()
	r.bytesIn = f[`slateridge_internal_bytes_total{dir="in"}`]
	r.bytesOut = f[`slateridge_internal_bytes_total{dir="out"}`]
	r.messagesIn = f[`slateridge_internal_messages_total{dir="in"}`]
	r.messagesOut = f[`slateridge_internal_messages_total{dir="out"}`]
	return r
}

func ownUsage() resourceUsage {
	t := &transport.Traffic
	return resourceUsage{time.Now(), cpuTime(os.Getpid()), float64(t.InBytes.Load()), float64(t.OutBytes.Load()), float64(t.In.Load()), float64(t.Out.Load())}
}

func dataDirectory(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("data-%d", i)) }

func startControl(dir string, i int) (*process, error) {
	data := dataDirectory(dir, i)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, err
	}
	return startProcess(dir, "control", fmt.Sprintf("control-%d", i), controlIP(i), data, constants.PortControlAdmin)
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}
