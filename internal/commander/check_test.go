package commander

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
)

// Guards against a fault in a source whose report lacks the file and line, the field, the reason or the code.
func TestCheckLocatesEachFault(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s := newSession()
	if code := s.execute(t, append([]string{"check"}, files...)...); code != 11 {
		t.Errorf("exit code is %d", code)
	}
	comparer.Golden(t, "check.golden", comparer.Stable(s.output.String()+s.errors.String()))
}

// Guards against valid sources that check rejects, and against settings that it skips although --settings is set.
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

// Guards against reading a source file of any size into memory: a file over the limit must fail with code 108.
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
