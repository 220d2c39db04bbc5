// Package comparer compares the output of tests with golden files. Only tests import it.
package comparer

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write golden files")

// Golden fails the test if got differs from the file testdata/name. With the flag -update it writes the file first.
func Golden(t testing.TB, name, got string) {
	t.Helper()
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

var unstablePattern = regexp.MustCompile(`("?(?:revision|base|current)"?:? )(\d+)|[0-9a-f]{64}`)

// firstStable is the number that replaces the first revision or digest in a text.
const firstStable = 1001

// Stable replaces revisions and digests by numbers in the order of their appearance. Their real values depend on how
// the publisher writes and encodes objects, which the tests that call Stable do not cover.
func Stable(text string) string {
	numbers := make(map[string]string)
	return unstablePattern.ReplaceAllStringFunc(text, func(match string) string {
		parts := unstablePattern.FindStringSubmatch(match)
		value := strings.TrimPrefix(match, parts[1])
		if numbers[value] == "" {
			numbers[value] = strconv.Itoa(firstStable + len(numbers))
		}
		return parts[1] + numbers[value]
	})
}
