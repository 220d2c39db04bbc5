package commander

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// headerPattern matches the line with the revision that render prints before a source. apply reads the base revision
// from it.
var headerPattern = regexp.MustCompile(`^# revision (\d{1,19})\r?\n`)

// sourceFile is a template or client account in a local file.
type sourceFile struct {
	path  string
	name  string // of the source
	value string // without the header
	base  uint64 // revision in the header; 0 if there is none
	lines int    // number of header lines
}

// readSources reads files that are named after their sources, such as account.ochre.yaml.
func readSources(paths []string) ([]sourceFile, error) {
	files := make([]sourceFile, 0, len(paths))
	for _, path := range paths {
		file, err := readSource(path)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

func readSource(path string) (sourceFile, error) {
	name := filepath.Base(path)
	switch extension := filepath.Ext(name); extension {
	case ".yaml", ".yml", ".json":
		name = strings.TrimSuffix(name, extension)
	}
	if !compiler.IsSourceName(name) {
		return sourceFile{}, &usageError{
			cause: fmt.Errorf("%s: the file must be named template.NAME.yaml or account.NAME.yaml", path),
		}
	}
	content, err := readBounded(path, compiler.MaxSourceBytes)
	if err != nil {
		return sourceFile{}, err
	}
	file := sourceFile{path: path, name: name, value: string(content)}
	if header := headerPattern.FindStringSubmatch(file.value); header != nil {
		base, err := strconv.ParseUint(header[1], 10, 64)
		if err != nil {
			return sourceFile{}, classifier.Wrap(classifier.CodeSourceDecode, path, err)
		}
		file.base, file.value, file.lines = base, file.value[len(header[0]):], 1
	}
	return file, nil
}

// readBounded reads a file of at most limit bytes. It fails with CodeSourceTooLarge on a larger file.
func readBounded(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if int64(len(content)) > limit {
		return nil, classifier.New(classifier.CodeSourceTooLarge, path, "the file is over %d bytes", limit)
	}
	return content, nil
}
