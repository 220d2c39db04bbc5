package commander

import (
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
)

const settingsFlag = "settings"

// settingsFlags returns the flags of the commands that read a node's settings: one for the file and one for each field.
func settingsFlags() []cli.Flag {
	fields := loader.Fields()
	flags := make([]cli.Flag, 0, 1+len(fields))
	flags = append(flags, &cli.StringFlag{Name: settingsFlag, Usage: "settings `FILE` in YAML [$JASMINE_SETTINGS]"})
	for _, field := range fields {
		flags = append(flags, &cli.StringFlag{
			Name:        field.Flag,
			Usage:       fmt.Sprintf("%s [$%s]", field.Usage, field.Environment),
			DefaultText: field.Default,
			Category:    "settings (flags win over the environment, the environment over the file)",
		})
	}
	return flags
}

// settingsPath returns the path of the settings file, or an empty string if there is none.
func (p *program) settingsPath(c *cli.Command) string {
	if c.IsSet(settingsFlag) {
		return c.String(settingsFlag)
	}
	return p.environmentVariable("JASMINE_SETTINGS")
}

// settings loads the settings from the flags, the environment and the settings file.
func (p *program) settings(c *cli.Command) (loader.Settings, error) {
	flagValues := make(map[string]string)
	for _, field := range loader.Fields() {
		if c.IsSet(field.Flag) {
			flagValues[field.Flag] = c.String(field.Flag)
		}
	}
	return loader.Load(loader.Sources{File: p.settingsPath(c), Environment: p.environment, Flags: flagValues})
}
