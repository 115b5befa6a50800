package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// update makes TestSettingsPageMatchesTypes write the page: go test ./internal/node/settings -run
// TestSettingsPageMatchesTypes -update
var update = flag.Bool("update", false, "write docs/SETTINGS.md")

const (
	modulePath = "github.com/portgauge/portgauge/"
	repository = "../../.."
	pagePath   = repository + "/docs/SETTINGS.md"
)

const pageHead = `# Settings

Generated from the types (` + "`go test ./internal/node/settings -run TestSettingsPageMatchesTypes -update`" + `); the test fails if the
page differs. [OPERATIONS.md](OPERATIONS.md#settings) describes how to give settings.
`

// fieldDocs holds the field comments of a package's struct types, by "Type.Field".
type fieldDocs map[string]string

// parseDocs parses the field comments of a package. A comment that names several fields also applies to the named
// fields below it that have no comment of their own.
func parseDocs(t *testing.T, pkgPath string) fieldDocs {
	t.Helper()
	folder := filepath.Join(repository, strings.TrimPrefix(pkgPath, modulePath))
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	docs := fieldDocs{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			spec, isType := node.(*ast.TypeSpec)
			if !isType {
				return true
			}
			if structure, isStruct := spec.Type.(*ast.StructType); isStruct {
				docs.add(spec.Name.Name, structure)
			}
			return false
		})
	}
	return docs
}

func (d fieldDocs) add(typeName string, structure *ast.StructType) {
	last := ""
	for _, field := range structure.Fields.List {
		text := strings.Join(strings.Fields(field.Doc.Text()), " ")
		if text != "" {
			last = text
		}
		for _, name := range field.Names {
			if text == "" && strings.Contains(last, name.Name) {
				text = last
			}
			d[typeName+"."+name.Name] = text
		}
	}
}

// page renders the tables of all settings, one per group.
type page struct {
	t            *testing.T
	docs         map[string]fieldDocs // by package
	lines        []string
	undocumented []string // settings without a comment
}

func (p *page) docOf(owner reflect.Type, field reflect.StructField) string {
	if p.docs[owner.PkgPath()] == nil {
		p.docs[owner.PkgPath()] = parseDocs(p.t, owner.PkgPath())
	}
	return p.docs[owner.PkgPath()][owner.Name()+"."+field.Name]
}

// group renders the table of the settings in a struct, then the tables of its groups. The prefix ends with a dot unless
// it is empty.
func (p *page) group(title, prefix string, value reflect.Value) {
	p.lines = append(p.lines, "", "## "+title, "", "| setting | default | meaning |", "|---|---|---|")
	owner := value.Type()
	var groups []int
	for i := range owner.NumField() {
		field := owner.Field(i)
		name := prefix + yamlName(field)
		if field.Type.Kind() == reflect.Struct {
			groups = append(groups, i)
			continue
		}
		doc := p.docOf(owner, field)
		if doc == "" {
			p.undocumented = append(p.undocumented, name)
		}
		p.lines = append(p.lines, fmt.Sprintf("| `%s` | %s | %s |", name, formatDefault(value.Field(i)), strings.ReplaceAll(doc, "|", "\\|")))
	}
	for _, i := range groups {
		name := prefix + yamlName(owner.Field(i))
		p.group(name, name+".", value.Field(i))
	}
}

// yamlName returns the name of a field in a settings file.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// formatDefault returns a default as it is written in a settings file.
func formatDefault(value reflect.Value) string {
	if duration, isDuration := value.Interface().(time.Duration); isDuration {
		return duration.String()
	}
	if value.IsZero() && value.Kind() != reflect.Bool && !value.CanInt() && !value.CanFloat() {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// renderPage returns the page and the settings that have no comment.
func renderPage(t *testing.T) (string, []string) {
	p := &page{t: t, docs: map[string]fieldDocs{}}
	p.group("At the top", "", reflect.ValueOf(Default()))
	return pageHead + strings.Join(p.lines, "\n") + "\n", p.undocumented
}

// The page must match the types and list every setting with its comment.
func TestSettingsPageMatchesTypes(t *testing.T) {
	is := is.New(t)
	content, undocumented := renderPage(t)
	if *update {
		is.NoErr(os.WriteFile(pagePath, []byte(content), 0o644))
	}
	written, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.Equal(string(written), content) // otherwise run the command in the head of the page
	is.Equal(len(undocumented), 0)     // every setting has a comment
	for _, path := range Paths() {
		is.True(slices.ContainsFunc(strings.Split(content, "\n"), func(line string) bool { return strings.HasPrefix(line, "| `"+path+"` |") }))
	}
}
