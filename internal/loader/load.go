package loader

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxFileBytes bounds the size of the settings file. A file with all fields has less than 2 KiB.
const maxFileBytes = 1 << 20

// clientVariables are read by the operator commands, which may share the environment of a node on the same server.
var clientVariables = []string{"JASMINE_SETTINGS", "JASMINE_NODE", "JASMINE_TOKEN"}

// Sources are the inputs from which settings are read. Flags override the environment, which overrides the file.
type Sources struct {
	File        string            // path of the YAML file; empty if there is none
	Environment []string          // NAME=value, as returned by os.Environ
	Flags       map[string]string // values of the flags that are set, by name without the leading dashes
}

// Load reads, merges and validates settings. The error has type FieldErrors.
func Load(sources Sources) (Settings, error) {
	file := &document{name: sources.File}
	if sources.File != "" {
		content, err := readFile(sources.File)
		if err != nil {
			return Settings{}, FieldErrors{newFieldError(sources.File, "", err.Error())}
		}
		file.content = content
	}
	return merge(file, sources)
}

// Parse decodes and validates the content of a settings file without other sources. Errors use name as the file name.
func Parse(name string, content []byte) (Settings, error) {
	return merge(&document{name: name, content: content}, Sources{})
}

func merge(file *document, sources Sources) (Settings, error) {
	settings := Default()
	if err := file.decode(&settings); err != nil {
		return Settings{}, err
	}
	locations := make(map[string]string) // variable or flag that set a field last, by path
	problems := applyEnvironment(&settings, sources.Environment, locations)
	problems = append(problems, applyFlags(&settings, sources.Flags, locations)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	if problems := validate(&settings, file, locations); len(problems) > 0 {
		return Settings{}, problems
	}
	return settings, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("the file is over %d bytes", maxFileBytes)
	}
	return content, nil
}

// applyEnvironment sets fields from the environment. It refuses unknown variables with the prefix, so that a misspelt
// name is reported.
func applyEnvironment(settings *Settings, environment []string, locations map[string]string) FieldErrors {
	fields := make(map[string]Field)
	for _, field := range Fields() {
		fields[field.Environment] = field
	}
	var problems FieldErrors
	for _, pair := range environment {
		name, text, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, environmentPrefix) || slices.Contains(clientVariables, name) {
			continue
		}
		location := "environment " + name
		field, ok := fields[name]
		if !ok {
			problems = append(problems, newFieldError(location, "", "no setting has this variable"))
			continue
		}
		if err := field.set(settings, text); err != nil {
			problems = append(problems, newFieldError(location, field.Path, err.Error()))
		}
		locations[field.Path] = location
	}
	return problems
}

// applyFlags sets fields from flags. It refuses unknown flags.
func applyFlags(settings *Settings, flags map[string]string, locations map[string]string) FieldErrors {
	var problems FieldErrors
	matched := 0
	for _, field := range Fields() {
		text, ok := flags[field.Flag]
		if !ok {
			continue
		}
		matched++
		location := "flag --" + field.Flag
		if err := field.set(settings, text); err != nil {
			problems = append(problems, newFieldError(location, field.Path, err.Error()))
		}
		locations[field.Path] = location
	}
	if matched < len(flags) {
		problems = append(problems, newFieldError("flags", "", "a flag names no setting"))
	}
	return problems
}
