package settings

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/leaf/warmup"
)

// placeholder matches a placeholder that the platform fills in.
var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// sectionTag matches the start or end of a section that the platform keeps only if it has the field.
var sectionTag = regexp.MustCompile(`\{\{[#/][^}]*\}\}\n`)

// The platform replaces fields that it doesn't support by nothing; they must keep their defaults.
func TestEmptyTemplateFieldsKeepDefaults(t *testing.T) {
	is := is.New(t)
	parsed, err := Parse("settings.yaml", []byte("node: {zone: z}\nwarmup:\n  excess: \n  slack: \n"))
	is.NoErr(err)
	is.Equal(parsed.Warmup, warmup.DefaultConfig())
}

// The template must name only settings that exist.
func TestTemplateHasKnownSettings(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile(repository + "/deploy/settings.yaml")
	is.NoErr(err)
	is.Equal(len(sectionTag.FindAll(template, -1)), 2)
	filled := sectionTag.ReplaceAll(template, nil)
	filled = regexp.MustCompile(`"\{\{[^}]*\}\}:?[^"]*"`).ReplaceAll(filled, []byte(`"10.0.0.1:80"`))
	filled = regexp.MustCompile(`\{\{Seeds\|json\}\}`).ReplaceAll(filled, []byte("[]"))
	filled = regexp.MustCompile(`\{\{Zones\|json\}\}`).ReplaceAll(filled, []byte(`{"z": "west"}`))
	filled = placeholder.ReplaceAll(filled, []byte("1"))
	parsed, err := Parse("settings.yaml", filled)
	is.NoErr(err)
	is.Equal(parsed.Regions, map[string]string{"z": "west"})
	is.True(parsed.Rollouts.Enabled)
	changed := parsed
	changed.Regions = nil
	is.Equal(Differences(parsed, changed), []string{"regions"})
}
