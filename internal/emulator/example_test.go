package emulator_test

import (
	"fmt"
	"time"

	"slateridge/internal/accounts"
	"slateridge/internal/emulator"
)

// Runs three control machines, two proxies, two upstreams and one tenant's client. A proxy is
// killed and restarted; at the end the tenant's account contains every request.
func Example() {
	objectives, err := accounts.ParseObjectives([]byte(`{"version":1,"shards":1,"defaultClass":"all",
		"classes":{"all":{"target":0.99,"latency":"250ms","window":"720h"}}}`))
	if err != nil {
		panic(err)
	}
	world := emulator.New(1, objectives)
	for _, name := range []string{"control-a", "control-b", "control-c"} {
		world.NewControl(name)
	}
	world.MoveShard(0, "control-a")
	world.NewUpstream("upstream-a")
	world.NewUpstream("upstream-b")
	proxy := world.NewProxy("proxy-a")
	world.NewProxy("proxy-b")
	world.NewClient("acme", 20*time.Millisecond, 4*time.Second)
	world.After(2*time.Second, proxy.Kill)
	world.After(3*time.Second, proxy.Start)
	world.Run(10*time.Second, nil)

	account, truth := world.Totals()["acme"], world.GroundTruth()["acme"]
	fmt.Println("every accepted request is in the account:", int(account.Taken) == truth.Accepted)
	fmt.Println("no request is open:", account.Open() == 0)
	// Output:
	// every accepted request is in the account: true
	// no request is open: true
}
