package loader

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxFileBytes bounds the settings file. A file with all fields has under 2 KiB.
const maxFileBytes = 1 << 20

// clientVariables belong to the operator commands, which share the environment of a node on the same server.
var clientVariables = []string{"JASMINE_SETTINGS", "JASMINE_NODE", "JASMINE_TOKEN"}

// Sources are the places that settings come from. Later ones win: File, Environment, Flags.
type Sources struct {
	File        string            // path of the YAML file; empty for none
	Environment []string          // NAME=value, as from os.Environ
	Flags       map[string]string // given flags by name without dashes
}

// Load reads, merges and validates settings. The error is FieldErrors.
func Load(sources Sources) (Settings, error) {
	file := &document{name: sources.File}
	if sources.File != "" {
		content, err := readFile(sources.File)
		if err != nil {
			return Settings{}, FieldErrors{problem(sources.File, "", err.Error())}
		}
		file.content = content
	}
	return merge(file, sources)
}

// Parse validates the content of a settings file on its own. The name appears in errors.
func Parse(name string, content []byte) (Settings, error) {
	return merge(&document{name: name, content: content}, Sources{})
}

func merge(file *document, sources Sources) (Settings, error) {
	settings := Default()
	if err := file.decode(&settings); err != nil {
		return Settings{}, err
	}
	origin := make(map[string]string) // place of the last source that set a field, by path
	problems := applyEnvironment(&settings, sources.Environment, origin)
	problems = append(problems, applyFlags(&settings, sources.Flags, origin)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	if problems := check(&settings, file, origin); len(problems) > 0 {
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

// applyEnvironment refuses unknown variables with the prefix, so that a misspelt name does not go unnoticed.
func applyEnvironment(settings *Settings, environment []string, origin map[string]string) FieldErrors {
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
		place := "environment " + name
		field, ok := fields[name]
		if !ok {
			problems = append(problems, problem(place, "", "no setting has this variable"))
			continue
		}
		if err := field.set(settings, text); err != nil {
			problems = append(problems, problem(place, field.Path, err.Error()))
		}
		origin[field.Path] = place
	}
	return problems
}

func applyFlags(settings *Settings, flags map[string]string, origin map[string]string) FieldErrors {
	var problems FieldErrors
	known := 0
	for _, field := range Fields() {
		text, ok := flags[field.Flag]
		if !ok {
			continue
		}
		known++
		place := "flag --" + field.Flag
		if err := field.set(settings, text); err != nil {
			problems = append(problems, problem(place, field.Path, err.Error()))
		}
		origin[field.Path] = place
	}
	if known < len(flags) {
		problems = append(problems, problem("flags", "", "a flag names no setting"))
	}
	return problems
}
