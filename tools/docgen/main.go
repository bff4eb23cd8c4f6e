// Command docgen generates the reference pages of settings, resources and reasons from
// doc comments. With -check it writes nothing, and fails if a page is out of date. Run it
// at the root of the repository.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strconv"
	"strings"
)

// page is a reference page that is generated from a struct and the structs in it.
type page struct {
	path   string
	title  string
	intro  string
	source string
	root   string
}

var pages = []page{
	{
		path:   "docs/SETTINGS.md",
		title:  "Settings of tacktallyd",
		intro:  "The settings file is JSON. `tacktallyd --check -s FILE` validates it and prints all\nfaults. Durations are texts such as `\"1.5s\"`. `examples/tacktallyd.json` is an example.",
		source: "internal/settings/settings.go",
		root:   "Settings",
	},
	{
		path:   "docs/RESOURCES.md",
		title:  "Resources",
		intro:  "Operators publish all resources as one JSON document of at most 1 MB at the\nplatform's configuration service, under increasing revisions. `tacktally validate`\nreports how every instance would decide about a document; `examples/document.json` is an\nexample. A document with any fault is rejected as a whole, and the configuration in\nforce stays.",
		source: "api/resources.go",
		root:   "Document",
	},
}

func main() {
	check := flag.Bool("check", false, "write nothing, and fail if a page is out of date")
	flag.Parse()
	for _, p := range pages {
		if err := p.run(*check); err != nil {
			fmt.Fprintln(os.Stderr, "docgen:", err)
			os.Exit(1)
		}
	}
	if err := writeReasonsPage(*check); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}

const (
	reasonsPath   = "docs/REASONS.md"
	reasonsSource = "api/outcome.go"
)

// writeReasonsPage writes or checks the page of reasons, from the comments of the constants.
func writeReasonsPage(check bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), reasonsSource, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "# Reasons\n\n<!-- Written by go run ./tools/docgen from %s. -->\n\n", reasonsSource)
	out.WriteString("Each refusal, unknown outcome and retry has one of these reasons. It is the `reason`\nof the response, `reason=` in the log, and the label of the counter\n(`tacktally_refusals_total`, `tacktally_retries_total`).\n")
	for _, decl := range file.Decls {
		if block, ok := decl.(*ast.GenDecl); ok && block.Tok == token.CONST && block.Lparen.IsValid() {
			writeReasonTable(&out, block)
		}
	}
	return write(reasonsPath, reasonsSource, out.Bytes(), check)
}

// writeReasonTable writes a table of the reasons in a block of constants. It ignores blocks of other
// types.
func writeReasonTable(out *bytes.Buffer, block *ast.GenDecl) {
	first := block.Specs[0].(*ast.ValueSpec)
	if kind, ok := first.Type.(*ast.Ident); !ok || kind.Name != "Reason" {
		return
	}
	heading, rest, _ := strings.Cut(oneLine(block.Doc.Text()), ". ")
	fmt.Fprintf(out, "\n## %s\n\n", strings.TrimSuffix(heading, "."))
	if rest != "" {
		fmt.Fprintf(out, "%s\n\n", rest)
	}
	fmt.Fprint(out, "| reason | what happened, and what to do |\n| --- | --- |\n")
	for _, spec := range block.Specs {
		v := spec.(*ast.ValueSpec)
		text, _ := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
		_, meaning, _ := strings.Cut(oneLine(v.Doc.Text()), ": ")
		fmt.Fprintf(out, "| `%s` | %s |\n", text, meaning)
	}
}

// oneLine replaces line breaks and repeated spaces by single spaces.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// run writes or checks the page.
func (p page) run(check bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), p.source, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	g := &generator{types: structs(file)}
	fmt.Fprintf(&g.out, "# %s\n\n<!-- Written by go run ./tools/docgen from %s. -->\n\n%s\n\n", p.title, p.source, p.intro)
	fmt.Fprintf(&g.out, "| path | type | meaning |\n| --- | --- | --- |\n")
	g.fields(p.root, "")
	return write(p.path, p.source, g.out.Bytes(), check)
}

// write writes a page, or checks that its file has the content.
func write(path, source string, content []byte, check bool) error {
	if !check {
		return os.WriteFile(path, content, 0o644)
	}
	current, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Equal(current, content) {
		return fmt.Errorf("%s is out of date with %s; run go run ./tools/docgen and commit the page", path, source)
	}
	return nil
}

// generator writes the table of a page.
type generator struct {
	types map[string]*ast.StructType
	out   bytes.Buffer
}

// structs returns the struct types of a file by name.
func structs(file *ast.File) map[string]*ast.StructType {
	out := map[string]*ast.StructType{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if s, ok := spec.Type.(*ast.StructType); ok {
				out[spec.Name.Name] = s
			}
		}
		return true
	})
	return out
}

// fields writes a row for each field of a struct, and for the fields of nested structs. path is the
// JSON pointer of the struct.
func (g *generator) fields(name, path string) {
	for _, f := range g.types[name].Fields.List {
		fieldPath := path + "/" + jsonName(f)
		kind, inner := describe(f.Type)
		fmt.Fprintf(&g.out, "| `%s` | %s | %s |\n", fieldPath, kind, doc(f))
		if g.types[inner] == nil {
			continue
		}
		if strings.HasPrefix(kind, "list") {
			fieldPath += "/N"
		}
		g.fields(inner, fieldPath)
	}
}

// jsonName returns the JSON key of a field.
func jsonName(f *ast.Field) string {
	text, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(reflect.StructTag(text).Get("json"), ",")
	return name
}

// typeNames describes Go types for operators.
var typeNames = map[string]string{
	"string": "text", "bool": "true or false", "int": "whole number", "int64": "whole number",
	"float64": "number", "Duration": "duration", "CallerIDPolicy": "text",
}

// describe returns the description of a type for operators, and the name of its innermost type.
func describe(e ast.Expr) (description, inner string) {
	switch t := e.(type) {
	case *ast.Ident:
		return typeName(t.Name), t.Name
	case *ast.StarExpr:
		description, inner := describe(t.X)
		return description, inner
	case *ast.ArrayType:
		description, inner := describe(t.Elt)
		return "list of " + description, inner
	default:
		return "value", ""
	}
}

// typeName returns the description of a named type for operators.
func typeName(name string) string {
	if w, ok := typeNames[name]; ok {
		return w
	}
	return "object"
}

// doc returns the doc comment of a field as the text of a table cell.
func doc(f *ast.Field) string {
	return strings.ReplaceAll(oneLine(f.Doc.Text()), "|", "\\|")
}
