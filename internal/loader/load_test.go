package loader

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
)

// Guards against a field that the settings file cannot set.
func TestFileSetsEveryField(t *testing.T) {
	settings, err := Load(Sources{File: "testdata/full.yaml"})
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		Name: "libro-1", Zone: "vereda-alta", Service: "libro-socios", Slots: 6,
		Caller: "127.0.0.1:8000", Peer: "127.0.0.1:8100", Admin: "127.0.0.1:8200",
		Upstream: Upstream{Address: "127.0.0.1:9000", Probe: "/alive"},
		Platform: Platform{URL: "http://127.0.0.1:7000", Rate: 2.5, Burst: 4, Timeout: 3000},
		Seeds:    []string{"127.0.0.2:8100", "127.0.0.3:8100"},
		Internal: "0123456789abcdef",
		Operator: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
		Memory:   Memory{Records: 1 << 20, Process: 128 << 20},
		Body:     2048, Hosted: Default().Hosted, Delay: 9, Log: "warn",
	}
	if diff := cmp.Diff(want, settings); diff != "" {
		t.Fatalf("settings differ (-want +got):\n%s", diff)
	}
}

// Guards against an optional field that loses its default because the file omits it or leaves its group empty.
func TestAbsentFieldsHaveDefaults(t *testing.T) {
	content, err := os.ReadFile("testdata/minimal.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, extra := range []string{"", "memory:\n", "memory: {}\n", "seeds: []\n"} {
		settings, err := Parse("minimal.yaml", append(content, extra...))
		if err != nil {
			t.Fatalf("%q: %v", extra, err)
		}
		defaults := Default()
		if diff := cmp.Diff(defaults.Memory, settings.Memory); diff != "" {
			t.Fatalf("%q: memory differs (-want +got):\n%s", extra, diff)
		}
		if settings.Upstream.Probe != defaults.Upstream.Probe || settings.Platform.Rate != defaults.Platform.Rate {
			t.Fatalf("%q: defaults are lost: %+v", extra, settings)
		}
	}
}

// Guards against a settings error without its file, line, field, reason or code.
func TestErrorsNameLineFieldAndReason(t *testing.T) {
	_, err := Load(Sources{File: "testdata/wrong.yaml"})
	if code := classifier.CodeOf(err); code != classifier.CodeSettingsInvalid {
		t.Fatalf("code is %d", code)
	}
	comparer.Golden(t, "wrong.golden", err.Error()+"\n")
}

// Guards against an unknown, repeated or mistyped field that is accepted.
func TestInvalidFileIsRefused(t *testing.T) {
	minimal, err := os.ReadFile("testdata/minimal.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, extra, want string }{
		{"unknown field", "slot: 6\n", `code 110: s.yaml:11: slot: unknown field "slot"`},
		{"unknown nested field", "memory: {record: 1}\n", `code 110: s.yaml:11: record: unknown field "record"`},
		{"repeated field", "name: other\n", "s.yaml:11"},
		{"wrong type", "slots: many\n", "s.yaml:11"},
		{"fraction", "slots: 1.5\n", "s.yaml:11"},
		{"second document", "---\nname: other\n", "s.yaml:12: a second document"},
		{"broken syntax", "memory: {\n", "s.yaml:11"},
		{"over the limit", "slots: 10001\n", "s.yaml:11: slots: the value must be at most 10000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("s.yaml", []byte(string(minimal)+c.extra))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error is %v, want %s", err, c.want)
			}
			if code := classifier.CodeOf(err); code != classifier.CodeSettingsInvalid {
				t.Fatalf("code is %d", code)
			}
		})
	}
}

// Guards against the wrong precedence of sources: flags override the environment, which overrides the file.
func TestLaterSourcesOverride(t *testing.T) {
	settings, err := Load(Sources{
		File: "testdata/full.yaml",
		Environment: []string{
			"HOME=/", "JASMINE_TOKEN=x", "JASMINE_SLOTS=7", "JASMINE_BODY=4096",
			"JASMINE_SEEDS=127.0.0.9:1, 127.0.0.8:1",
		},
		Flags: map[string]string{"slots": "8", "platform-rate": "1.5"},
	})
	if err != nil {
		t.Fatal(err)
	}
	got := []any{settings.Slots, settings.Body, settings.Platform.Rate, settings.Seeds}
	want := []any{8, int64(4096), 1.5, []string{"127.0.0.9:1", "127.0.0.8:1"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("values differ (-want +got):\n%s", diff)
	}
}

// Guards against an error in the environment or a flag that is attributed to the file or ignored.
func TestErrorNamesItsSource(t *testing.T) {
	cases := []struct{ environment, flag, value, want string }{
		{"JASMINE_SLOT=6", "", "", "code 110: environment JASMINE_SLOT: no setting has this variable"},
		{"JASMINE_SLOTS=six", "", "", `code 110: environment JASMINE_SLOTS: slots: "six" is not a whole number`},
		{"JASMINE_LOG=loud", "", "", "code 110: environment JASMINE_LOG: log: " +
			"the value must be one of debug info warn error"},
		{"", "platform-rate", "fast", `code 110: flag --platform-rate: platform.rate: "fast" is not a number`},
		{"", "body", "1", "code 110: flag --body: body: the value must be at least 1024"},
		{"", "seeds", "a,b", "code 110: flag --seeds: seeds[0]: the value must be an IP address and a port, " +
			"such as 10.0.0.1:8000"},
		{"", "peer", "127.0.0.1:8000", "code 110: flag --peer: peer: the address is the same as that of caller"},
		{"", "nothing", "1", "code 110: flags: a flag names no setting"},
	}
	for _, c := range cases {
		sources := Sources{File: "testdata/full.yaml", Environment: []string{c.environment}}
		if c.flag != "" {
			sources.Flags = map[string]string{c.flag: c.value}
		}
		_, err := Load(sources)
		var problems FieldErrors
		if !errors.As(err, &problems) || problems[0].Error() != c.want {
			t.Errorf("error is %v, want %s", err, c.want)
		}
	}
}

// Guards against a missing or oversized file that is read as an empty file.
func TestUnreadableFileIsRefused(t *testing.T) {
	oversized := filepath.Join(t.TempDir(), "large.yaml")
	if err := os.WriteFile(oversized, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{oversized, "testdata/absent.yaml"} {
		if _, err := Load(Sources{File: path}); classifier.CodeOf(err) != classifier.CodeSettingsInvalid {
			t.Errorf("%s: error is %v", path, err)
		}
	}
}

// Guards against a settings file that crashes the process or is refused without code 110.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"full.yaml", "minimal.yaml", "wrong.yaml"} {
		content, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("{name: [}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := Parse("s.yaml", content); err != nil && classifier.CodeOf(err) != classifier.CodeSettingsInvalid {
			t.Fatalf("error has no code: %v", err)
		}
	})
}
