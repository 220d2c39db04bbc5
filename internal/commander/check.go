package commander

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
)

// Finding describes a fault in the settings or in a source. Place is the file and line, the environment variable or
// the flag.
type Finding struct {
	Place  string          `json:"place"`
	Object string          `json:"object,omitempty"` // name of the faulty source; empty for settings
	Field  string          `json:"field,omitempty"`
	Reason string          `json:"reason"`
	Code   classifier.Code `json:"code"`
}

// Findings lists what the check command has checked and the faults that it found.
type Findings struct {
	Checked  []string  `json:"checked"`
	Findings []Finding `json:"findings"`
}

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate settings, templates and client accounts offline",
		ArgsUsage: "[FILE...]",
		Description: "Without files, checks the settings as the command node would read them. With files named\n" +
			"template.NAME.yaml and account.NAME.yaml, compiles these together; with --settings too, checks both.",
		Flags:  append(settingsFlags(), formatFlag()),
		Action: p.check,
	}
}

func (p *program) check(_ context.Context, c *cli.Command) error {
	result := Findings{Checked: []string{}, Findings: []Finding{}}
	if !c.Args().Present() || c.IsSet(settingsFlag) {
		result.Checked = append(result.Checked, "settings")
		_, err := p.settings(c)
		var faults loader.FieldErrors
		if err != nil && !errors.As(err, &faults) {
			return err
		}
		for _, fault := range faults {
			result.Findings = append(result.Findings, Finding{
				Place: fault.Subject, Field: fault.Field, Reason: fault.Reason, Code: fault.Code,
			})
		}
	}
	files, err := readSources(c.Args().Slice())
	if err != nil {
		return err
	}
	result.addSources(files)
	if err := p.print(c, result, result.write); err != nil {
		return err
	}
	return result.failure()
}

// addSources compiles the files together and adds a finding for each problem.
func (f *Findings) addSources(files []sourceFile) {
	if len(files) == 0 {
		return
	}
	sources := make([]compiler.Source, 0, len(files))
	for _, file := range files {
		f.Checked = append(f.Checked, file.path)
		sources = append(sources, compiler.Source{Name: file.name, Value: []byte(file.value)})
	}
	_, problems := compiler.Compile(sources)
	sourceLocator := newLocator(files)
	for _, problem := range problems {
		f.Findings = append(f.Findings, Finding{
			Place: sourceLocator.place(problem), Object: problem.Object, Field: problem.Field, Reason: problem.Reason,
			Code: problem.Code,
		})
	}
}

func (f *Findings) write(t *text) {
	for _, finding := range f.Findings {
		parts := []string{finding.Place}
		if !strings.Contains(finding.Place, finding.Object) {
			parts = append(parts, finding.Object)
		}
		if finding.Field != "" {
			parts = append(parts, finding.Field)
		}
		t.line("%s: %s (code %d)", strings.Join(parts, ": "), finding.Reason, finding.Code)
	}
	if len(f.Findings) == 0 {
		for _, name := range f.Checked {
			t.line("%s: valid", name)
		}
	}
}

// failure returns an error with the code of the first finding, or nil.
func (f *Findings) failure() error {
	if len(f.Findings) == 0 {
		return nil
	}
	first := f.Findings[0]
	return classifier.New(first.Code, first.Place, "%s", plural(len(f.Findings), "fault"))
}

func plural(count int, noun string) string {
	if count == 1 {
		return fmt.Sprintf("1 %s", noun)
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
