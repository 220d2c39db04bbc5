// Command stand plays one case: it starts nodes of the project as separate processes, beside a stand-in for the
// platform's store, servers and clients, and checks one rule by what these saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases return whether the rule held, and a line that says what was seen. Trouble is false for a play without the
// disruption.
var cases = map[string]func(trouble bool) (bool, string){}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	rootFlag := flag.String("root", ".", "root of the repository")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	root = *rootFlag
	openRecord(*recordPath)
	play := cases[*name]
	if play == nil {
		fail("no case %q", *name)
	}
	created, err := os.MkdirTemp("", "stand")
	must(err)
	folder = created
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		fail("interrupted")
	}()
	held, seen := play(os.Getenv("TROUBLE") != "0")
	stopAll()
	verdict := "the rule was broken"
	if held {
		verdict = "the rule held"
	}
	record.add("%s: %s", verdict, seen)
	record.close()
	fmt.Printf("%s: %s\n", verdict, seen)
	if *keep {
		fmt.Println(folder)
	} else {
		_ = os.RemoveAll(folder)
	}
	if !held {
		os.Exit(1)
	}
}
