package commander

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Guards against a result code without a row in docs/result-codes.md, a row for a code that does not exist, and a row
// with a wrong exit code.
func TestCodesAreDocumented(t *testing.T) {
	documented := make(map[string]string)
	for _, row := range tableRows(t, "../../docs/result-codes.md") {
		if len(row) != 6 || row[3] == "" || row[4] == "" {
			t.Errorf("row has not six filled cells: %v", row)
			continue
		}
		if documented[row[0]] != "" {
			t.Errorf("code %s has two rows", row[0])
		}
		switch row[2] {
		case "-", "notrun", "unknown", "notrun or unknown":
		default:
			t.Errorf("code %s has the outcome %q", row[0], row[2])
		}
		documented[row[0]] = row[1] + ", exit " + row[5]
	}
	declared := make(map[string]string)
	for name, code := range declaredCodes(t) {
		declared[code] = fmt.Sprintf("%s, exit %d", name, resultExitCode(parseCode(t, code)))
	}
	if diff := cmp.Diff(declared, documented); diff != "" {
		t.Fatalf("codes differ (-code.go +page):\n%s", diff)
	}
}

// declaredCodes maps the names of the codes in code.go, without the prefix Code, to their values. CodeOK is left out.
func declaredCodes(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../classifier/code.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	codes := make(map[string]string)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if name := spec.Names[0].Name; ok && name != "CodeOK" {
			codes[strings.TrimPrefix(name, "Code")] = literal.Value
		}
		return true
	})
	if len(codes) < 40 {
		t.Fatalf("only %d codes were found", len(codes))
	}
	return codes
}

func parseCode(t *testing.T, text string) classifier.Code {
	t.Helper()
	var code classifier.Code
	if _, err := fmt.Sscan(text, &code); err != nil {
		t.Fatal(err)
	}
	return code
}

// tableRows returns the cells of all table rows whose first cell is a number.
func tableRows(t *testing.T, path string) [][]string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if len(cells) > 1 && cells[0] != "" && strings.Trim(cells[0], "0123456789") == "" {
			rows = append(rows, cells)
		}
	}
	return rows
}
