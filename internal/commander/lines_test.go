package commander

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// logPattern matches a log call and captures its receiver and its message. An argument or a "prefix: " before the
// message is allowed.
var logPattern = regexp.MustCompile(
	`(\w+)\.(?:Debug|Info|Warn|Error|log)\((?:[\w.]+(?:\([\w.]*\))?, )?"(?:[a-z]+: )?([a-z][^"]+)"`)

// Guards against a log message without a row in docs/OPERATIONS.md, where operators look messages up.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.Contains(path, "faker") || strings.Contains(path, "baseliner") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range logPattern.FindAllStringSubmatch(string(content), -1) {
			if match[1] == "http" { // http.Error writes a response, not a log line
				continue
			}
			found++
			if !strings.Contains(string(page), "| `"+match[2]+"` |") {
				t.Errorf("%s: the page has no row for the log line %q", path, match[2])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if found < 8 {
		t.Errorf("only %d log lines were found", found)
	}
}

// Guards against a link to a page or heading that does not exist.
func TestLinksOfPagesExist(t *testing.T) {
	pages := []string{
		"../../README.md", "../../CONTRIBUTING.md", "../../CHANGELOG.md", "../../docs/OPERATIONS.md",
		"../../docs/settings.md", "../../docs/result-codes.md", "../../docs/glossary.md",
	}
	linkPattern := regexp.MustCompile(`\]\(([^)#:]*)(#[^)]*)?\)`)
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range linkPattern.FindAllStringSubmatch(string(content), -1) {
			target := page
			if match[1] != "" {
				target = filepath.Join(filepath.Dir(page), match[1])
			}
			linked, err := os.ReadFile(target)
			if err != nil {
				t.Errorf("%s: %v", page, err)
				continue
			}
			heading := strings.ReplaceAll(strings.TrimPrefix(match[2], "#"), "-", " ")
			if !strings.Contains(strings.ToLower(string(linked)), "# "+heading+"\n") && heading != "" {
				t.Errorf("%s: %s has no heading %q", page, target, heading)
			}
		}
	}
}

// Guards against a failure in section 5 of docs/design.md without a heading in docs/OPERATIONS.md, where operators look
// failures up.
func TestFailuresAreDocumented(t *testing.T) {
	design, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(design), "\n## 5. Failures\n")
	table, _, _ = strings.Cut(table, "\n## ")
	rows := regexp.MustCompile(`(?m)^\| ([^|]+) \|`).FindAllStringSubmatch(table, -1)
	if len(rows) < 10 {
		t.Fatalf("only %d failures were found", len(rows))
	}
	for _, row := range rows[1:] { // skips the header row
		if !strings.Contains(strings.ToLower(string(page)), "\n### "+strings.ToLower(row[1])+"\n") {
			t.Errorf("the page has no heading for %q", row[1])
		}
	}
}
