package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"
)

const (
	formatText = "text"
	formatJSON = "json"
)

func formatFlag() cli.Flag {
	return &cli.StringFlag{
		Name: outputFlag, Usage: "`FORMAT` of the output: text or json", Value: formatText,
		Validator: func(format string) error {
			if format != formatText && format != formatJSON {
				return fmt.Errorf("%q is neither text nor json", format)
			}
			return nil
		},
	}
}

// print writes the result as indented JSON or, by default, as the text that the function write produces.
func (p *program) print(c *cli.Command, result any, write func(t *text)) error {
	if c.String(outputFlag) == formatJSON {
		encoder := json.NewEncoder(p.output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	t := &text{}
	write(t)
	_, err := io.WriteString(p.output, t.lines.String())
	return err
}

// text collects the lines of the text format.
type text struct {
	lines strings.Builder
}

// line adds a line and replaces its control characters: audit entries contain text from unauthenticated requests,
// which could inject terminal escape sequences.
func (t *text) line(format string, arguments ...any) {
	t.lines.WriteString(replaceUnprintable(fmt.Sprintf(format, arguments...)))
	t.lines.WriteByte('\n')
}

func replaceUnprintable(line string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, line)
}
