// Command scalerun measures how the control plane scales, on one machine. It runs real control
// processes and a real proxy on loopback addresses, and many hollow proxies in its own process.
// Hollow proxies subscribe, take part in membership, admit and meter like real ones, but carry
// no traffic. The run is bounded in time and prints its figures at the end.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

var cli struct {
	Program   string        `default:"target/slateridge" help:"The program under trial."`
	Control   int           `default:"6" help:"Control processes."`
	Proxies   int           `default:"100" help:"Hollow proxies."`
	Upstreams int           `default:"500" help:"Upstreams on the list."`
	Services  int           `default:"20" help:"Services."`
	Routes    int           `default:"500" help:"Routes."`
	Tenants   int           `default:"100" help:"Tenants with a quota."`
	PerProxy  float64       `default:"10" help:"Made-up requests a second and proxy."`
	For       time.Duration `default:"15s" help:"How long the steady state is measured."`
	Changes   int           `default:"5" help:"Configuration changes whose way is timed."`
	Load      float64       `help:"Requests a second through the real proxy, to stand-in upstreams that answer at once; the same are sent there directly, to see what the proxy adds."`
	Kill      bool          `help:"Kill one control process and time until the others have mended the view."`
	Wait      time.Duration `default:"90s" help:"Longest wait for anything."`
	Slopes    bool          `help:"Instead of a run, what single operations cost at three sizes each."`
	Accounts  bool          `help:"Give all tenants an objective, and time until their accounts are whole once the made-up requests end."`
	CatchUp   bool          `help:"Instead of a run, how long a control process that was killed and started again takes to have the newest state, by the number of changes it missed; then the same with an empty disk. Flat: it takes the newest state, whatever came between."`
	Missed    []int         `default:"1,3,10,30,100,300" help:"With --catch-up: the numbers of changes missed."`
	Verbose   bool          `help:"Show what the processes write."`
}

const (
	portFrontend, portReadiness, portControl = 18388, 18384, 18381
	portInternal                             = 17560
	platformAddr                             = "127.9.0.1:18382"
)

// clusterStarted is set once the cluster has formed; processes started later don't bootstrap.
var clusterStarted bool

func main() {
	kong.Parse(&cli, kong.Description("Tries the control plane's size on loopback, with hollow proxies. Bounded in time; ends by itself."))
	if cli.Slopes {
		operationCosts(os.Stdout)
		return
	}
	run := runTrial
	if cli.CatchUp {
		run = func() error { return catchUp(os.Stdout) }
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "scalerun: %s\n", err)
		os.Exit(1)
	}
}
