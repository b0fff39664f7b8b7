// Command slateridge is an API gateway. The proxy and control subcommands run its
// proxies and its control plane; the others are tools for operators.
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

// version is set at link time by release builds.
var version = "dev"

const exitUsage = 2

// usageError marks an error in flags, arguments or settings. The program prints it as one line
// and exits with code 2.
type usageError struct{ error }

type proxyCmd struct{}
type controlCmd struct{}
type versionCmd struct{}

type checkCmd struct {
	File string `arg:"" help:"Configuration file in the format of the API; - for standard input."`
}

var cli struct {
	Proxy      proxyCmd      `cmd:"" help:"Run the proxy. Settings are read from the file named by SLATERIDGE_NODE_FILE."`
	Control    controlCmd    `cmd:"" help:"Run the control plane. Settings are read from the file named by SLATERIDGE_NODE_FILE."`
	Check      checkCmd      `cmd:"" help:"Validate a configuration file, with the same error messages as the API."`
	Status     statusCmd     `cmd:"" help:"Show the state of running daemons: view, versions, acknowledgements, duties, upstreams, quotas."`
	Accounts   accountsCmd   `cmd:"" help:"Show each tenant's requests measured against its service objective."`
	Retire     retireCmd     `cmd:"" help:"Remove a permanently lost control machine from the electorate, by agreement of the others."`
	Modelcheck modelcheckCmd `cmd:"" help:"Search for schedules that break the rules of the control plane's protocols."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

func main() {
	parser := kong.Must(&cli, kong.Name("slateridge"), kong.Description("An API gateway: proxies and their control plane."),
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

// setMemoryLimit sets the garbage collector's soft limit to a share of the configured memory
// limit, so that it collects more often before the process exceeds that limit and is killed.
func setMemoryLimit(set *settings.Settings) {
	if mb := set.Limits.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * constants.MemoryLimitFraction * (1 << 20)))
	}
}

const signalBuffer = 16 // signals queued during startup

// notifySignals subscribes to the signals that the daemons handle. It must be called first:
// a signal that arrives during startup is then queued instead of terminating the process.
func notifySignals() <-chan os.Signal {
	ch := make(chan os.Signal, signalBuffer)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return ch
}

// addSignalActor adds an actor that calls reload on SIGHUP. On SIGTERM or SIGINT it calls
// shutdown and returns, which stops the group.
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
	state, err := config.Parse(raw)
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
