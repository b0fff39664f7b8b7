// Command drill runs the scripted cases of the second review: it starts the project's own
// programs on loopback addresses, with stand-ins for clients, servers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const timeLimit = 115 * time.Second

// cases lists the cases by name. Each reports whether the rule held.
var cases = map[string]func(rec *recorder, trouble bool) bool{
	"keypass": keypass,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(2)
	}
	rec := newRecorder(os.Args[2])
	time.AfterFunc(timeLimit, func() { cannotRun("not done after %v", timeLimit) })
	ending := make(chan os.Signal, 1)
	signal.Notify(ending, syscall.SIGINT, syscall.SIGTERM)
	go func() { cannotRun("signal %v", <-ending) }()
	held := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.note("the rule held: %v", held)
	rec.flush()
	if !held {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
