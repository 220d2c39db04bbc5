//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a case that hangs.
const limit = 110 * time.Second

// cases are the functions that play a case, by name. Each returns whether the rule was broken.
var cases = make(map[string]func(r *record, temporary string, trouble bool) bool)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand2 CASE DIRECTORY")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(2)
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		unable(err)
	}
	if os.Getenv("KEEP") == "" {
		atEnd(func() { _ = os.RemoveAll(temporary) })
	} else {
		fmt.Println("logs:", temporary)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { unable(fmt.Errorf("signal %v", <-signals)) }()
	time.AfterFunc(limit, func() { unable(fmt.Errorf("it takes longer than %v", limit)) })
	broken := play(newRecord(os.Args[2]), temporary, os.Getenv("TROUBLE") != "0")
	cleanUp()
	if broken {
		os.Exit(1)
	}
}
