package compiler

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
)

func readExamples(t testing.TB, example string) []Source {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", example, "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples for %s: %v", example, err)
	}
	sources := make([]Source, 0, len(paths))
	for _, path := range paths {
		value, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, Source{Name: strings.TrimSuffix(filepath.Base(path), ".yaml"), Value: value})
	}
	return sources
}

// Guards against example sources that no longer compile, and against an unnoticed change of the compiled views, which
// would change the digest of every deployed configuration.
func TestExamplesCompileToGoldenViews(t *testing.T) {
	for _, example := range []string{"ochre", "wick"} {
		view, problems := Compile(readExamples(t, example))
		if diff := cmp.Diff([]Problem(nil), problems); diff != "" {
			t.Fatalf("%s: problems (-want +got):\n%s", example, diff)
		}
		got, err := json.MarshalIndent(view, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		comparer.Golden(t, example+".json", string(got)+"\n")
	}
}
