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

// process is a program under test that runs as a separate process.
type process struct {
	name, ip string
	admin    int // offset of the admin port from portInternal
	cmd      *exec.Cmd
}

func startProcess(dir, role, name, ip, data string, admin int) (*process, error) {
	path := filepath.Join(dir, name+".json")
	content, _ := json.Marshal(nodeSettings(name, ip, "z0", data))
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(cli.Program, role)
	cmd.Env = append(os.Environ(), settings.EnvFile+"="+path)
	if cli.Verbose {
		cmd.Stderr = os.Stderr
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &process{name, ip, admin, cmd}, cmd.Start()
}

// resourceUsage is the CPU time and internal traffic of a process since its start.
type resourceUsage struct {
	at                      time.Time
	cpu                     time.Duration
	bytesIn, bytesOut       float64
	messagesIn, messagesOut float64
}

// cpuTime returns the user and system time of a process, or 0 if it can't be read.
func cpuTime(pid int) time.Duration {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	userTicks, _ := strconv.Atoi(fields[11])
	systemTicks, _ := strconv.Atoi(fields[12])
	return time.Duration(userTicks+systemTicks) * 10 * time.Millisecond
}

// peakMemoryMB returns the peak resident memory of a process, or 0 if it can't be read.
func peakMemoryMB(pid int) (mb float64) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		if value, ok := strings.CutPrefix(scanner.Text(), "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// usage samples the CPU time and traffic of the process.
func (p *process) usage() resourceUsage {
	u := resourceUsage{at: time.Now(), cpu: cpuTime(p.cmd.Process.Pid)}
	metrics := p.metrics()
	u.bytesIn = metrics[`slateridge_internal_bytes_total{dir="in"}`]
	u.bytesOut = metrics[`slateridge_internal_bytes_total{dir="out"}`]
	u.messagesIn = metrics[`slateridge_internal_messages_total{dir="in"}`]
	u.messagesOut = metrics[`slateridge_internal_messages_total{dir="out"}`]
	return u
}

// ownUsage samples the CPU time and traffic of this process, which runs the hollow proxies.
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
