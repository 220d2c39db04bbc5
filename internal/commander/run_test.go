package commander

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
)

// session runs the command line in a test and captures its output.
type session struct {
	program
	output, errors bytes.Buffer
}

func newSession(environment ...string) *session {
	s := &session{}
	s.program = program{
		input: strings.NewReader(""), output: &s.output, errors: &s.errors, environment: environment,
		run: func(context.Context, loader.Settings, func() (loader.Settings, error)) error {
			return errors.New("not expected")
		},
	}
	return s
}

func (s *session) execute(t *testing.T, arguments ...string) int {
	t.Helper()
	return s.program.execute(t.Context(), append([]string{"jasmineproxy"}, arguments...))
}

// Guards against a command without a help text, and against --help with an exit code other than 0.
func TestEachCommandHasHelp(t *testing.T) {
	s := newSession()
	for _, command := range s.root().Commands {
		s.output.Reset()
		if code := s.execute(t, command.Name, "--help"); code != exitOK {
			t.Errorf("%s: exit code is %d", command.Name, code)
		}
		if !strings.Contains(s.output.String(), command.Usage) || command.Usage == "" {
			t.Errorf("%s: help is %q", command.Name, s.output.String())
		}
	}
}

// Guards against a settings file, environment variable or flag whose value does not reach the node.
func TestNodeGetsMergedSettings(t *testing.T) {
	s := newSession("JASMINE_SETTINGS=../loader/testdata/full.yaml", "JASMINE_ZONE=vereda-baja")
	var got loader.Settings
	s.run = func(_ context.Context, settings loader.Settings, _ func() (loader.Settings, error)) error {
		got = settings
		return nil
	}
	if code := s.execute(t, "node", "--memory-records", "2097152"); code != exitOK {
		t.Fatalf("exit code is %d: %s", code, s.errors.String())
	}
	if got.Name != "libro-1" || got.Zone != "vereda-baja" || got.Memory.Records != 2<<20 {
		t.Fatalf("settings are %+v", got)
	}
}

// Guards against exit codes that do not distinguish wrong usage, wrong settings and other failures.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		arguments string
		code      int
		message   string
	}{
		{"", exitOK, ""},
		{"start", exitUsage, `no command "start"`},
		{"node --nothing 1", exitUsage, "flag provided but not defined"},
		{"node more", exitUsage, "node takes no arguments"},
		{"node", 11, "code 110: settings: name: the value must be set"},
		{"check --settings ../loader/testdata/wrong.yaml", 11, "wrong.yaml:5: admin: "},
		{"check --settings ../loader/testdata/full.yaml", exitOK, ""},
		{"node --settings ../loader/testdata/full.yaml", exitFailure, "not expected"},
		{"check testdata/other.yaml", exitUsage, "must be named template.NAME.yaml"},
		{"check testdata/account.absent.yaml", exitUsage, "no such file"},
		{"apply", exitUsage, "apply needs a file"},
		{"apply --base ochre testdata/account.ochre.yaml", exitUsage, "the form is NAME=REVISION"},
		{"status --output xml", exitUsage, "neither text nor json"},
		{"status --node nowhere", exitUsage, "not an http or https URL"},
		{"status --token-file testdata/absent", exitUsage, "no such file"},
		{"status --node http://127.0.0.1:1", 13, "code 304: http://127.0.0.1:1"},
		{"render --source account.ochre --diff 1", exitUsage, "goes with no version"},
		{"token create", exitUsage, "name"},
		{"token revoke", exitUsage, "needs one digest"},
		{"token nothing", exitUsage, `no command "nothing"`},
	}
	for _, c := range cases {
		s := newSession()
		if code := s.execute(t, strings.Fields(c.arguments)...); code != c.code {
			t.Errorf("%s: exit code is %d, want %d", c.arguments, code, c.code)
		}
		if printed := s.output.String() + s.errors.String(); !strings.Contains(printed, c.message) {
			t.Errorf("%s: message is %q, want %q", c.arguments, printed, c.message)
		}
	}
}
