package main

import (
	"fmt"
	"os"
)

// cases are the review cases by name. With provoke set a case creates the conditions of the
// fault; otherwise it runs a control without them. It reports whether the rule was violated.
var cases = map[string]func(rec *Recorder, provoke bool) (violated bool){}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec := newRecorder(os.Args[2])
	violated := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	stopClusters()
	if violated {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
