package settings

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/leaf/warmup"
)

// gap is a place that the platform fills in.
var gap = regexp.MustCompile(`\{\{[^}]*\}\}`)

// section is the mark at the beginning or end of what stands only where the platform gives a field.
var section = regexp.MustCompile(`\{\{[#/][^}]*\}\}\n`)

// A platform that does not know a field of the template leaves nothing in its place: the default holds then.
func TestTemplateFieldsThatThePlatformDoesNotKnowKeepTheirDefaults(t *testing.T) {
	is := is.New(t)
	parsed, err := Parse("settings.yaml", []byte("node: {zone: z}\nwarmup:\n  excess: \n  slack: \n"))
	is.NoErr(err)
	is.Equal(parsed.Warmup, warmup.DefaultConfig())
}

// The template names only fields that exist.
func TestTemplateHasKnownFields(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile(repository + "/deploy/settings.yaml")
	is.NoErr(err)
	is.Equal(len(section.FindAll(template, -1)), 2)
	filled := section.ReplaceAll(template, nil)
	filled = regexp.MustCompile(`"\{\{[^}]*\}\}:?[^"]*"`).ReplaceAll(filled, []byte(`"10.0.0.1:80"`))
	filled = regexp.MustCompile(`\{\{Seeds\|json\}\}`).ReplaceAll(filled, []byte("[]"))
	filled = regexp.MustCompile(`\{\{Zones\|json\}\}`).ReplaceAll(filled, []byte(`{"z": "west"}`))
	filled = gap.ReplaceAll(filled, []byte("1"))
	parsed, err := Parse("settings.yaml", filled)
	is.NoErr(err)
	is.Equal(parsed.Regions, map[string]string{"z": "west"})
	is.True(parsed.Rollouts.Enabled)
	changed := parsed
	changed.Regions = nil
	is.Equal(Differences(parsed, changed), []string{"regions"})
}
