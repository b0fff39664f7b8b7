package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// envRole makes the test binary run as slateridge, with the value as its subcommand.
const envRole = "SLATERIDGE_TEST_ROLE"

func TestMain(m *testing.M) {
	if role := os.Getenv(envRole); role != "" {
		os.Args = []string{"slateridge", role}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A SIGHUP that arrives during startup does not terminate the process. The settings file is a
// named pipe, so that startup blocks until the test writes to it.
func TestReloadWhileStarting(t *testing.T) {
	for _, role := range []string{"proxy", "control"} {
		t.Run(role, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "boot.json")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			process := exec.Command(os.Args[0])
			process.Env = append(os.Environ(), envRole+"="+role, "SLATERIDGE_NODE_FILE="+path)
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the process opens it for reading
			if err != nil {
				t.Fatal(err)
			}
			if err := process.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			settings.WriteString("no settings")
			settings.Close()
			var exit *exec.ExitError
			if err := process.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitUsage {
				t.Errorf("the process ended with %v, want exit code %d for invalid settings", err, exitUsage)
			}
		})
	}
}
