// Command soak runs hosted nodes as processes, injects faults and checks the results that callers and upstreams see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

func main() {
	os.Exit(run(os.Args))
}

// errBroken reports that at least one seed broke a promise.
var errBroken = errors.New("a promise was broken")

// run runs the command line and returns the exit code of the process.
func run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "soak",
		Usage: "run nodes, break things around them and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "bin/jasmineproxy", Usage: "program of the nodes"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds from the first one on"},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "a single seed; may be repeated"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "seeds at a time, 100 at most"},
			&cli.IntFlag{Name: "nodes", Value: 6, Usage: "nodes of a seed, 3 to 120"},
			&cli.StringFlag{Name: "dir", Usage: "where logs are kept; a temporary directory if empty"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			dir := c.String("dir")
			if dir == "" {
				tempDir, err := os.MkdirTemp("", "soak")
				if err != nil {
					return err
				}
				dir = tempDir
			}
			seeds := c.Uint64Slice("seed")
			for i := range c.Int("seeds") {
				seeds = append(seeds, c.Uint64("first")+uint64(i))
			}
			return soak(ctx, options{
				binary: c.String("binary"), seeds: seeds,
				jobs: min(max(c.Int("jobs"), 1), 100), nodes: min(max(c.Int("nodes"), 3), 120), dir: dir,
			})
		},
	}
	if err := command.Run(ctx, arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// options are the values of the command line flags.
type options struct {
	binary string   // program of the nodes
	seeds  []uint64 // seeds to run
	jobs   int      // seeds that run concurrently
	nodes  int      // nodes of each seed
	dir    string   // directory of the logs
}

// soak runs the seeds and prints the report of each. It returns errBroken if a seed broke a promise.
func soak(ctx context.Context, o options) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.jobs)
	broken := make(chan uint64, len(o.seeds))
	for i, seed := range o.seeds {
		group.Go(func() error {
			dir := filepath.Join(o.dir, fmt.Sprintf("seed-%d", seed))
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			// Seeds that run concurrently use different loopback networks.
			report, err := runSeed(ctx, seed, 1+i%100, o, dir)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			fmt.Println(report)
			if len(report.violations) > 0 {
				broken <- seed
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	close(broken)
	fmt.Printf("%d seeds, %d with a broken promise; logs in %s\n", len(o.seeds), len(broken), o.dir)
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}
