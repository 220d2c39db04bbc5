package loader

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a setting that docs/settings.md omits or describes with a wrong default, variable or flag.
func TestSettingsAreDocumented(t *testing.T) {
	content, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string][]string)
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 6 || !strings.HasPrefix(strings.TrimSpace(cells[0]), "`") {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		if cells[1] == "" || cells[2] == "" {
			t.Errorf("%s has no meaning or unit", cells[0])
		}
		documented[cells[0]] = cells[3:]
	}
	declared := make(map[string][]string)
	for _, field := range Fields() {
		value := field.Default
		switch {
		case field.Required:
			value = "required"
		case value == "":
			value = "none"
		}
		declared[field.Path] = []string{value, field.Environment, "--" + field.Flag}
	}
	if diff := cmp.Diff(declared, documented); diff != "" {
		t.Fatalf("fields differ (-settings +page):\n%s", diff)
	}
}

// Guards against an example in docs/settings.md that a node would refuse.
func TestSettingsExampleIsValid(t *testing.T) {
	content, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, example, _ := strings.Cut(string(content), "```yaml\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Parse("settings.md", []byte(example)); err != nil {
		t.Fatal(err)
	}
}
