package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/portgauge/portgauge/internal/failure"
)

// environmentPrefix is the prefix of environment variables that override settings.
const environmentPrefix = "PORTGAUGE_"

// Override is a setting given by an environment variable or a flag.
type Override struct {
	// Path is the setting's name, such as search.merge_reserve.
	Path  string
	Value string
	// Source is the variable or flag, for error messages.
	Source string
}

// ParseFlag parses an override of the form path=value.
func ParseFlag(text string) (Override, error) {
	path, value, found := strings.Cut(text, "=")
	if !found || path == "" {
		return Override{}, failure.Invalid("set", "%q is invalid; must have the form path=value", text)
	}
	return Override{Path: path, Value: value, Source: "--set " + path}, nil
}

// Load reads and validates settings from a file, the environment and flags. An empty path means no file. The error
// joins all faults, each with its line or source.
func Load(path string, environment []string, flags []Override) (Settings, error) {
	document := &yaml.Node{Kind: yaml.MappingNode}
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, failure.Wrap(err, failure.InvalidField, failure.NotRun, "read settings file")
		}
		if document, err = parse(path, content); err != nil {
			return Settings{}, err
		}
	}
	return assemble(path, document, append(fromEnvironment(environment), flags...))
}

func parse(name string, content []byte) (*yaml.Node, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil, failure.Invalid(name, "is not valid YAML: %v", err)
	}
	if len(root.Content) == 0 {
		return &yaml.Node{Kind: yaml.MappingNode}, nil
	}
	if root.Content[0].Kind != yaml.MappingNode {
		return nil, failure.Invalid(name, "must be a mapping of settings")
	}
	return root.Content[0], nil
}

func assemble(name string, document *yaml.Node, overrides []Override) (Settings, error) {
	sources := map[string]string{}
	for _, override := range overrides {
		if err := setScalar(document, strings.Split(override.Path, "."), override.Value); err != nil {
			return Settings{}, failure.Invalid(override.Path, "%s: %v", override.Source, err)
		}
		sources[override.Path] = override.Source
	}
	settings := Default()
	if err := decodeStrictly(name, document, &settings); err != nil {
		return Settings{}, err
	}
	return settings, locate(name, document, sources, settings.Validate())
}

// decodeStrictly decodes the document. The error lists every unknown setting and every value of the wrong type.
func decodeStrictly(name string, document *yaml.Node, settings *Settings) error {
	var checks failure.Checks
	rejectUnknown(&checks, name, document, "", knownPaths())
	err := document.Decode(settings)
	var mistyped *yaml.TypeError
	switch {
	case errors.As(err, &mistyped):
		for _, fault := range mistyped.Errors {
			checks.Refuse(true, name, "%s", fault)
		}
	case err != nil:
		checks.Refuse(true, name, "%v", err)
	}
	return checks.Err()
}

// knownPaths returns the names of all settings and of the groups that contain them.
func knownPaths() map[string]bool {
	known := map[string]bool{}
	for _, path := range Paths() {
		for end := 0; end < len(path); end++ {
			if path[end] == '.' {
				known[path[:end]] = true
			}
		}
		known[path] = true
	}
	return known
}

func rejectUnknown(checks *failure.Checks, name string, node *yaml.Node, prefix string, known map[string]bool) {
	if node.Kind != yaml.MappingNode {
		return
	}
	for index := 0; index+1 < len(node.Content); index += 2 {
		key := node.Content[index]
		path := prefix + key.Value
		if !known[path] {
			checks.Refuse(true, path, "is not a setting (%s line %d)", name, key.Line)
			continue
		}
		if value := node.Content[index+1]; isGroup(path, value) {
			rejectUnknown(checks, name, value, path+".", known)
		}
	}
}

// locate adds the line or source of the value to each fault.
func locate(name string, document *yaml.Node, sources map[string]string, err error) error {
	var located failure.Checks
	for _, fault := range failure.Faults(err) {
		where := "default"
		if source, found := sources[fault.Field]; found {
			where = source
		} else if value := valueAt(document, strings.Split(fault.Field, ".")); value != nil {
			where = fmt.Sprintf("%s line %d: %q", name, value.Line, value.Value)
		}
		located.Refuse(true, fault.Field, "%s (%s)", fault.Message, where)
	}
	return located.Err()
}

// valueAt returns the value at a path of the document, or nil if there is none.
func valueAt(node *yaml.Node, path []string) *yaml.Node {
	value := child(node, path[0])
	if value == nil || len(path) == 1 {
		return value
	}
	return valueAt(value, path[1:])
}

func child(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for index := 0; index+1 < len(node.Content); index += 2 {
		if node.Content[index].Value == key {
			return node.Content[index+1]
		}
	}
	return nil
}

// setScalar sets the value at a path and creates missing mappings.
func setScalar(node *yaml.Node, path []string, value string) error {
	existing := child(node, path[0])
	if len(path) == 1 {
		var scalar yaml.Node
		if err := yaml.Unmarshal([]byte(value), &scalar); err != nil || len(scalar.Content) == 0 {
			return failure.Invalid(path[0], "%q is not a YAML value", value)
		}
		if existing != nil {
			*existing = *scalar.Content[0]
			return nil
		}
		node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: path[0]}, scalar.Content[0])
		return nil
	}
	if existing == nil {
		existing = &yaml.Node{Kind: yaml.MappingNode}
		node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: path[0]}, existing)
	}
	if existing.Kind != yaml.MappingNode {
		return failure.Invalid(path[0], "is not a group of settings")
	}
	return setScalar(existing, path[1:], value)
}

// fromEnvironment returns the overrides among the environment variables. Names of settings contain underscores, so the
// variable of each setting is looked up, instead of deriving the path from the variable.
func fromEnvironment(environment []string) []Override {
	values := map[string]string{}
	for _, variable := range environment {
		if name, value, found := strings.Cut(variable, "="); found && strings.HasPrefix(name, environmentPrefix) {
			values[name] = value
		}
	}
	var overrides []Override
	for _, path := range Paths() {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(path, ".", "_"))
		if value, found := values[name]; found {
			overrides = append(overrides, Override{Path: path, Value: value, Source: name})
		}
	}
	return overrides
}

// Paths returns the names of all settings.
func Paths() []string {
	content, err := yaml.Marshal(Default())
	if err != nil {
		return nil
	}
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil
	}
	return pathsOf(root.Content[0], "")
}

func pathsOf(node *yaml.Node, prefix string) []string {
	var paths []string
	for index := 0; index+1 < len(node.Content); index += 2 {
		path := prefix + node.Content[index].Value
		if isGroup(path, node.Content[index+1]) {
			paths = append(paths, pathsOf(node.Content[index+1], path+".")...)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}

// regionsPath is the only setting whose value is a mapping; its keys are zones.
const regionsPath = "regions"

// isGroup reports whether the value at a path is a group of settings, not the value of a setting.
func isGroup(path string, value *yaml.Node) bool {
	return value.Kind == yaml.MappingNode && path != regionsPath
}

// reloadable are the settings that can change while the node runs.
var reloadable = map[string]bool{"log_level": true, "seeds": true}

// Differences returns the names of changed settings that need a restart.
func Differences(before, after Settings) []string {
	first, second := values(before), values(after)
	var names []string
	for _, path := range Paths() {
		if !reloadable[path] && first[path] != second[path] {
			names = append(names, path)
		}
	}
	return names
}

// values returns the value of each setting in YAML, by name.
func values(settings Settings) map[string]string {
	content, err := yaml.Marshal(settings)
	if err != nil {
		return nil
	}
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil
	}
	found := map[string]string{}
	collectValues(root.Content[0], "", found)
	return found
}

func collectValues(node *yaml.Node, prefix string, found map[string]string) {
	for index := 0; index+1 < len(node.Content); index += 2 {
		path, value := prefix+node.Content[index].Value, node.Content[index+1]
		if isGroup(path, value) {
			collectValues(value, path+".", found)
			continue
		}
		encoded, err := yaml.Marshal(value)
		if err == nil {
			found[path] = string(encoded)
		}
	}
}
