package loader

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// environmentPrefix starts the name of every environment variable of the settings.
const environmentPrefix = "JASMINE_"

// Field describes one setting and its names in each source.
type Field struct {
	Path        string // in the file, with a dot between levels
	Environment string
	Flag        string
	Default     string // empty if the field is required or has no default
	Usage       string
	Required    bool
	index       []int
}

// Fields lists all settings in the order of the struct.
func Fields() []Field {
	defaults := Default()
	return collect(reflect.ValueOf(defaults), nil, nil)
}

func collect(structure reflect.Value, path []string, index []int) []Field {
	var fields []Field
	for i := range structure.NumField() {
		description := structure.Type().Field(i)
		names := slices.Concat(path, []string{description.Tag.Get("yaml")})
		indexes := slices.Concat(index, []int{i})
		if description.Type.Kind() == reflect.Struct {
			fields = append(fields, collect(structure.Field(i), names, indexes)...)
			continue
		}
		fields = append(fields, Field{
			Path:        strings.Join(names, "."),
			Environment: environmentPrefix + strings.ToUpper(strings.Join(names, "_")),
			Flag:        strings.Join(names, "-"),
			Default:     format(structure.Field(i)),
			Usage:       description.Tag.Get("usage"),
			Required:    strings.HasPrefix(description.Tag.Get("validate"), "required") && structure.Field(i).IsZero(),
			index:       indexes,
		})
	}
	return fields
}

func format(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// set parses text into the field. Lists are separated by commas.
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
		target.Set(reflect.ValueOf(split(text)))
	default:
		return fmt.Errorf("a field of kind %s cannot be set from text", target.Kind())
	}
	return nil
}

func split(text string) []string {
	list := []string{}
	for part := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(part); trimmed != "" {
			list = append(list, trimmed)
		}
	}
	return list
}
