package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *Record, trouble bool) (broken bool){}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	stopAll()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
