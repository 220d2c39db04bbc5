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

// print writes a result as JSON, or as the text that write produces.
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

// text collects lines for a terminal.
type text struct {
	lines strings.Builder
}

// line adds a line. Control characters are replaced, because audit entries hold text that strangers sent, and a
// terminal would obey it.
func (t *text) line(format string, arguments ...any) {
	t.lines.WriteString(printable(fmt.Sprintf(format, arguments...)))
	t.lines.WriteByte('\n')
}

func printable(line string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, line)
}
