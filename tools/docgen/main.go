// Command docgen writes the reference pages of settings and resources from the
// doc comments of the typed structs. With -check it fails when a page differs from
// what it would write. Run it at the root of the repository.
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

// page is one reference page and what it is made from.
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
		intro:  "The settings file is JSON. `tacktallyd --check -s FILE` checks it and prints every\nfault. Durations are texts such as `\"1.5s\"`. `examples/tacktallyd.json` is an example.",
		source: "internal/settings/settings.go",
		root:   "Settings",
	},
	{
		path:   "docs/RESOURCES.md",
		title:  "Resources",
		intro:  "Operators publish all resources as one JSON document of at most 1 MB at the\nplatform's configuration service, under a revision that rises. `tacktally validate`\nsays what every instance would say to a document; `examples/document.json` is an\nexample. A document with any fault is rejected whole, and what is in force stays.",
		source: "api/resources.go",
		root:   "Document",
	},
}

func main() {
	check := flag.Bool("check", false, "fail when a page differs from what would be written")
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

// writeReasonsPage writes the page of refusal and retry writeReasonsPage from the constants' comments.
func writeReasonsPage(check bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), reasonsSource, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "# Reasons\n\n<!-- Written by go run ./tools/docgen from %s. -->\n\n", reasonsSource)
	out.WriteString("Each refusal, unknown outcome and retry has one of these reasons: in the answer's\n`reason`, in the log's `reason=`, and as the label of its counter\n(`tacktally_refusals_total`, `tacktally_retries_total`).\n")
	for _, decl := range file.Decls {
		if block, ok := decl.(*ast.GenDecl); ok && block.Tok == token.CONST && block.Lparen.IsValid() {
			writeReasonTable(&out, block)
		}
	}
	return write(reasonsPath, reasonsSource, out.Bytes(), check)
}

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

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

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

// write writes a page, or checks that it is what it would be.
func write(path, source string, content []byte, check bool) error {
	if !check {
		return os.WriteFile(path, content, 0o644)
	}
	have, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Equal(have, content) {
		return fmt.Errorf("%s is not what %s says; run go run ./tools/docgen and commit it", path, source)
	}
	return nil
}

type generator struct {
	types map[string]*ast.StructType
	out   bytes.Buffer
}

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

// fields writes a row for each field of a struct, and goes into structs.
func (g *generator) fields(name, path string) {
	for _, f := range g.types[name].Fields.List {
		at := path + "/" + jsonName(f)
		kind, inner := describe(f.Type)
		fmt.Fprintf(&g.out, "| `%s` | %s | %s |\n", at, kind, doc(f))
		if g.types[inner] == nil {
			continue
		}
		if strings.HasPrefix(kind, "list") {
			at += "/N"
		}
		g.fields(inner, at)
	}
}

func jsonName(f *ast.Field) string {
	text, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(reflect.StructTag(text).Get("json"), ",")
	return name
}

// typeNames names Go types for operators.
var typeNames = map[string]string{
	"string": "text", "bool": "true or false", "int": "whole number", "int64": "whole number",
	"float64": "number", "Duration": "duration", "CallerIDPolicy": "text",
}

// describe words a type, and names the struct inside it.
func describe(e ast.Expr) (words, inner string) {
	switch t := e.(type) {
	case *ast.Ident:
		return typeName(t.Name), t.Name
	case *ast.StarExpr:
		w, inner := describe(t.X)
		return w, inner
	case *ast.ArrayType:
		w, inner := describe(t.Elt)
		return "list of " + w, inner
	default:
		return "value", ""
	}
}

func typeName(name string) string {
	if w, ok := typeNames[name]; ok {
		return w
	}
	return "object"
}

func doc(f *ast.Field) string {
	return strings.ReplaceAll(oneLine(f.Doc.Text()), "|", "\\|")
}
