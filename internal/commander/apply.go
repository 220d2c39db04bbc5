package commander

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

const (
	operationFlag = "operation"
	baseFlag      = "base"
	deleteFlag    = "delete"
	waitFlag      = "wait"
	dryFlag       = "dry"
)

func (p *program) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "change templates and client accounts",
		ArgsUsage: "[FILE...]",
		Description: "Files are named template.NAME.yaml and account.NAME.yaml. All changes are accepted together or not\n" +
			"at all. The base revision of each comes from the file's first line, as render writes it (# revision 17),\n" +
			"or from --base; without one, the source must not exist yet. After a lost answer, the same command with\n" +
			"--operation finds the result and changes nothing twice.",
		Flags: clientFlags(
			&cli.StringFlag{Name: operationFlag, Usage: "`ID` of an earlier apply to repeat"},
			&cli.StringSliceFlag{Name: baseFlag, Usage: "base revision of a source, `NAME=REVISION`"},
			&cli.StringSliceFlag{Name: deleteFlag, Usage: "delete the source `NAME`; needs --base"},
			&cli.Int64Flag{Name: waitFlag, Usage: "how long to wait until the version is in force, in ms", Value: 3000},
			&cli.BoolFlag{Name: dryFlag, Usage: "check the change on the node and change nothing"},
		),
		Action: p.apply,
	}
}

func (p *program) apply(ctx context.Context, c *cli.Command) error {
	change, err := readChange(c)
	if err != nil {
		return err
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	if c.Bool(dryFlag) {
		var checked administrator.Checked
		change.Operation = ""
		if err := client.call(ctx, http.MethodPost, "/v1/check", change, &checked); err != nil {
			return p.printRefusal(c, err)
		}
		return p.print(c, checked, func(t *text) { t.line("the change would be accepted") })
	}
	var accepted administrator.Accepted
	path := "/v1/apply?wait=" + strconv.FormatInt(c.Int64(waitFlag), 10)
	if err := client.call(ctx, http.MethodPost, path, change, &accepted); err != nil {
		return p.printRefusal(c, withRepeatHint(err, change.Operation))
	}
	if err := p.print(c, accepted, func(t *text) {
		t.line("accepted version %d (operation %s)", accepted.Version, accepted.Operation)
	}); err != nil {
		return err
	}
	if accepted.Code != classifier.CodeOK {
		return classifier.New(accepted.Code, client.base, "version %d is accepted, but not in force on this node yet",
			accepted.Version)
	}
	return nil
}

// withRepeatHint adds the operation to an error that leaves open whether the node accepted the change. After a failed
// dial nothing was sent, so that error stays unchanged.
func withRepeatHint(err error, operation string) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return err
	}
	switch classifier.CodeOf(err) {
	case classifier.CodePeerClosed, classifier.CodePeerTimeout, classifier.CodePeerInvalid, classifier.CodeUnavailable:
		return fmt.Errorf("%w; the change may have been accepted: repeat the command with --operation %s", err, operation)
	}
	return err
}

// readChange builds a change from the files and flags of the command. Without --operation, it generates an operation
// ID.
func readChange(c *cli.Command) (administrator.Change, error) {
	bases, err := readBases(c.StringSlice(baseFlag))
	if err != nil {
		return administrator.Change{}, err
	}
	files, err := readSources(c.Args().Slice())
	if err != nil {
		return administrator.Change{}, err
	}
	change := administrator.Change{Operation: c.String(operationFlag)}
	if change.Operation == "" {
		change.Operation = uuid.NewString()
	}
	for _, file := range files {
		edit := publisher.Edit{Name: file.name, Value: file.value, Base: file.base}
		if base, ok := bases[file.name]; ok {
			edit.Base = base
		}
		change.Edits = append(change.Edits, edit)
	}
	for _, name := range c.StringSlice(deleteFlag) {
		change.Edits = append(change.Edits, publisher.Edit{Name: name, Base: bases[name], Delete: true})
	}
	if len(change.Edits) == 0 {
		return administrator.Change{}, &usageError{cause: errors.New("apply needs a file or --delete")}
	}
	return change, nil
}

// readBases parses the NAME=REVISION pairs of --base.
func readBases(pairs []string) (map[string]uint64, error) {
	bases := make(map[string]uint64, len(pairs))
	for _, pair := range pairs {
		name, text, _ := strings.Cut(pair, "=")
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, &usageError{cause: fmt.Errorf("--base %s: the form is NAME=REVISION", pair)}
		}
		bases[name] = revision
	}
	return bases, nil
}

// printRefusal prints the conflicts and problems of a refused change and returns err.
func (p *program) printRefusal(c *cli.Command, err error) error {
	var failure *administrator.ReplyError
	if !errors.As(err, &failure) {
		return err
	}
	if printErr := p.print(c, failure, func(t *text) { writeRefusal(t, failure) }); printErr != nil {
		return printErr
	}
	return err
}

func writeRefusal(t *text, failure *administrator.ReplyError) {
	for _, conflict := range failure.Conflicts {
		t.line("%s: your base is revision %d, the current one is revision %d", conflict.Name, conflict.Base, conflict.Current)
		for _, difference := range conflict.Differences {
			t.line("  %s: current %s, yours %s", difference.Path, valueText(difference.Before), valueText(difference.After))
		}
	}
	for _, problem := range failure.Problems {
		t.line("%s: %s: %s (code %d)", problem.Object, problem.Field, problem.Reason, problem.Code)
	}
}
