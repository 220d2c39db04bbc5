package loader

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// environmentPrefix is the prefix of all environment variables for settings.
const environmentPrefix = "JASMINE_"

// Field describes a setting and its name in the file, the environment and the flags.
type Field struct {
	Path        string // name in the file, with dots between levels
	Environment string // name of the environment variable
	Flag        string // name of the flag, without the leading dashes
	Default     string // empty if the field is required or has no default
	Usage       string // help text of the flag
	Required    bool
	index       []int // position in Settings, as for reflect.Value.FieldByIndex
}

// Fields returns all settings in the order of the Settings struct.
func Fields() []Field {
	defaults := Default()
	return collectFields(reflect.ValueOf(defaults), nil, nil)
}

func collectFields(structure reflect.Value, path []string, index []int) []Field {
	var fields []Field
	for i := range structure.NumField() {
		structField := structure.Type().Field(i)
		names := slices.Concat(path, []string{structField.Tag.Get("yaml")})
		indexes := slices.Concat(index, []int{i})
		if structField.Type.Kind() == reflect.Struct {
			fields = append(fields, collectFields(structure.Field(i), names, indexes)...)
			continue
		}
		fields = append(fields, Field{
			Path:        strings.Join(names, "."),
			Environment: environmentPrefix + strings.ToUpper(strings.Join(names, "_")),
			Flag:        strings.Join(names, "-"),
			Default:     formatDefault(structure.Field(i)),
			Usage:       structField.Tag.Get("usage"),
			Required:    strings.HasPrefix(structField.Tag.Get("validate"), "required") && structure.Field(i).IsZero(),
			index:       indexes,
		})
	}
	return fields
}

func formatDefault(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// set parses text and stores the value in the field of settings. List entries are separated by commas.
func (f *Field) set(settings *Settings, text string) error {
	target := reflect.ValueOf(settings).Elem().FieldByIndex(f.index)
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		target.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		target.SetFloat(number)
	case reflect.Slice:
		target.Set(reflect.ValueOf(splitList(text)))
	default:
		return fmt.Errorf("a field of kind %s cannot be set from text", target.Kind())
	}
	return nil
}

func splitList(text string) []string {
	list := []string{}
	for part := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(part); trimmed != "" {
			list = append(list, trimmed)
		}
	}
	return list
}
