package commander

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write golden files")

// Guards against a fault in a source that is reported without its file and line, field, reason or code.
func TestCheckLocatesEachFault(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s := newSession()
	if code := s.execute(t, append([]string{"check"}, files...)...); code != 11 {
		t.Errorf("exit code is %d", code)
	}
	compareGolden(t, "check.golden", s.output.String()+s.errors.String())
}

// Guards against valid sources that are refused offline, and settings that are skipped although they were asked for.
func TestCheckAcceptsValidFiles(t *testing.T) {
	s := newSession()
	code := s.execute(t, "check", "--output", "json", "--settings", "../loader/testdata/full.yaml",
		"testdata/template.ledger.yaml", "testdata/account.ochre.yaml")
	want := `{
  "checked": [
    "settings",
    "testdata/template.ledger.yaml",
    "testdata/account.ochre.yaml"
  ],
  "findings": []
}
`
	if diff := cmp.Diff(want, s.output.String()); diff != "" || code != exitOK {
		t.Fatalf("exit code is %d, output differs (-want +got):\n%s", code, diff)
	}
}

// Guards against a huge file that is read into memory.
func TestCheckBoundsFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "account.ochre.yaml")
	if err := os.WriteFile(path, make([]byte, 1<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	s := newSession()
	if code := s.execute(t, "check", path); code != 11 || !strings.Contains(s.errors.String(), "code 108") {
		t.Fatalf("exit code is %d: %s", code, s.errors.String())
	}
}

var unstablePattern = regexp.MustCompile(`("?(?:revision|base|current)"?:? )(\d+)|[0-9a-f]{64}`)

// stable replaces revisions and digests by their order of appearance. They depend on how the publisher writes and
// encodes objects, which these tests do not cover.
func stable(text string) string {
	seen := make(map[string]string)
	return unstablePattern.ReplaceAllStringFunc(text, func(found string) string {
		parts := unstablePattern.FindStringSubmatch(found)
		value := strings.TrimPrefix(found, parts[1])
		if seen[value] == "" {
			seen[value] = fmt.Sprintf("%d", 1001+len(seen))
		}
		return parts[1] + seen[value]
	})
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	got = stable(got)
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Fatalf("%s differs (-want +got):\n%s", name, diff)
	}
}
