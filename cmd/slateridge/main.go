// Command slateridge is an API gateway: its proxies (proxy) and its control
// plane (control) are subcommands of this one program.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"slateridge/internal/accounts"
	"slateridge/internal/config"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane"
	"slateridge/internal/eventlog"
	"slateridge/internal/proxy"
	"slateridge/internal/settings"
)

// version is set by the build of a release.
var version = "dev"

const exitUsage = 2

// usageError ends the program with exit code 2 and one line.
type usageError struct{ error }

type proxyCmd struct{}
type controlCmd struct{}
type versionCmd struct{}

type checkCmd struct {
	File string `arg:"" help:"Configuration file, as an operator would send it; - for standard input."`
}

var cli struct {
	Proxy      proxyCmd      `cmd:"" help:"Run the proxy. Settings are read from the file named by SLATERIDGE_NODE_FILE."`
	Control    controlCmd    `cmd:"" help:"Run the control plane. Settings are read from the file named by SLATERIDGE_NODE_FILE."`
	Check      checkCmd      `cmd:"" help:"Validate a configuration file with the errors the API gives."`
	Status     statusCmd     `cmd:"" help:"Show what running daemons know: view, versions, acknowledgements, duties, upstreams, quotas."`
	Accounts   accountsCmd   `cmd:"" help:"Show how requests were served against the service objectives, by tenant."`
	Retire     retireCmd     `cmd:"" help:"Take a control machine that is gone for good out of the electorate, by agreement of the others."`
	Modelcheck modelcheckCmd `cmd:"" help:"Look for schedules that break the rules of the control plane's machines."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

func main() {
	parser := kong.Must(&cli, kong.Name("slateridge"), kong.Description("An API gateway: proxies and the control plane that informs them."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "slateridge: %s\nTry: slateridge --help\n", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "slateridge: %s\n", err)
		var usage usageError
		if errors.As(err, &usage) {
			os.Exit(exitUsage)
		}
		os.Exit(1)
	}
}

func newEventLog(set *settings.Settings, role string) *eventlog.Log {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return eventlog.New(zerolog.New(os.Stderr).With().Timestamp().Str("node", set.NodeName).Str("role", role).Logger())
}

// setMemoryLimit has the collector work harder as the process comes near the
// machine's limit, over which it would be ended.
func setMemoryLimit(set *settings.Settings) {
	if mb := set.Limits.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * constants.MemoryPart * (1 << 20)))
	}
}

const signalBuffer = 16 // signals that may wait while a process starts

// notifySignals is called before all else: a signal that comes while the process starts
// waits until it has, and does not end it.
func notifySignals() <-chan os.Signal {
	ch := make(chan os.Signal, signalBuffer)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return ch
}

// addSignalActor is the actor that ends the group after leaving in order.
func addSignalActor(g *run.Group, ch <-chan os.Signal, reload, shutdown func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case sig := <-ch:
				if sig == syscall.SIGHUP {
					reload()
					continue
				}
				shutdown()
				return nil
			}
		}
	}, func(error) { cancel() })
}

func (proxyCmd) Run() error {
	caught := notifySignals()
	path := os.Getenv(settings.EnvFile)
	set, err := settings.Load(path, "frontend", "readiness")
	if err != nil {
		return usageError{err}
	}
	setMemoryLimit(set)
	objectives, err := accounts.LoadObjectives(os.Getenv(accounts.EnvFile))
	if err != nil {
		return usageError{err}
	}
	d := proxy.NewDaemon(set, path, newEventLog(set, "proxy"))
	d.EnableAccounting(objectives)
	var g run.Group
	if err := d.Add(&g); err != nil {
		return err
	}
	addSignalActor(&g, caught, d.Reload, d.Leave)
	return g.Run()
}

func (controlCmd) Run() error {
	caught := notifySignals()
	path := os.Getenv(settings.EnvFile)
	set, err := settings.Load(path, "controlPlane")
	if err != nil {
		return usageError{err}
	}
	setMemoryLimit(set)
	d, err := controlplane.NewDaemon(set, newEventLog(set, "control"))
	if err != nil {
		return err
	}
	var g run.Group
	if err := d.Add(&g); err != nil {
		return err
	}
	addSignalActor(&g, caught, d.Reload(path), d.Leave)
	return g.Run()
}

func (c checkCmd) Run() error {
	var raw []byte
	var err error
	if c.File == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(c.File)
	}
	if err != nil {
		return usageError{err}
	}
	state, err := config.Read(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("%s: valid: r%d, %d routes, %d services, %d tenants\n", c.File, state.Version, len(state.Routes()), len(state.Services), len(state.Tenants))
	return nil
}

func (versionCmd) Run() error {
	fmt.Println("slateridge", version)
	return nil
}
