package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// entry is a type of error.
type entry struct{ pkg, name, doc, advice string }

const head = `# Errors, and what to do

Generated from the types of errors in the code (` + "`go run ./internal/advice/page > docs/ERRORS.md`" + `); a test fails where it is not
up to date. The programs print the advice behind the error; in the log it is the field ` + "`do`" + `.

`

// Page is the page's text, of all packages under a folder.
func Page(root string) (string, error) {
	all, err := entries(root)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString(head)
	last := ""
	for _, e := range all {
		if e.doc == "" {
			return "", fmt.Errorf("%s.%s has no comment", e.pkg, e.name)
		}
		if e.advice == "" {
			return "", fmt.Errorf("%s.%s advises nothing", e.pkg, e.name)
		}
		if e.pkg != last {
			fmt.Fprintf(&b, "## %s\n\n", e.pkg)
			last = e.pkg
		}
		fmt.Fprintf(&b, "**%s**: %s\n%s\n\n", e.name, e.doc, e.advice)
	}
	return strings.TrimRight(b.String(), "\n") + "\n", nil
}

func entries(root string) (all []entry, err error) {
	docs := map[string]string{} // of types, by package and name
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() && (!strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go")) {
			return err
		}
		if d.IsDir() {
			if n := d.Name(); n == "journal" || n == "testdata" || strings.HasPrefix(n, ".") && n != "." && n != ".." {
				return filepath.SkipDir
			}
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		pkg := filepath.ToSlash(rel)
		for _, decl := range file.Decls {
			switch decl := decl.(type) {
			case *ast.GenDecl:
				for _, spec := range decl.Specs {
					if t, is := spec.(*ast.TypeSpec); is {
						docs[pkg+"."+t.Name.Name] = sentence(decl.Doc.Text(), t.Name.Name)
					}
				}
			case *ast.FuncDecl:
				if decl.Name.Name == "Advice" && decl.Recv != nil && decl.Body != nil {
					if name := receiver(decl.Recv); name != "" {
						all = append(all, entry{pkg: pkg, name: name, advice: said(decl.Body)})
					}
				}
			}
		}
		return nil
	})
	for i := range all {
		all[i].doc = docs[all[i].pkg+"."+all[i].name]
	}
	slices.SortFunc(all, func(a, b entry) int { return strings.Compare(a.pkg+"."+a.name, b.pkg+"."+b.name) })
	return all, err
}

// sentence is a type's comment without its name at the beginning.
func sentence(doc, name string) string {
	doc = strings.Join(strings.Fields(doc), " ")
	return strings.TrimPrefix(strings.TrimPrefix(doc, name+" is "), name+" ")
}

func receiver(list *ast.FieldList) string {
	t := list.List[0].Type
	if star, is := t.(*ast.StarExpr); is {
		t = star.X
	}
	if id, is := t.(*ast.Ident); is {
		return id.Name
	}
	return ""
}

// said is what a method advises: its texts, with a dash for what is only known when it happens, one after the other
// where there are several.
func said(body *ast.BlockStmt) string {
	var all []string
	ast.Inspect(body, func(n ast.Node) bool {
		r, is := n.(*ast.ReturnStmt)
		if !is || len(r.Results) != 1 {
			return true
		}
		if text := strings.TrimSpace(expression(r.Results[0])); text != "" {
			all = append(all, text)
		}
		return true
	})
	return strings.Join(all, "; or: ")
}

func expression(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		if s, err := strconv.Unquote(e.Value); err == nil {
			return s
		}
	case *ast.BinaryExpr:
		return expression(e.X) + expression(e.Y)
	case *ast.ParenExpr:
		return expression(e.X)
	case *ast.CallExpr: // Sprintf, or what somebody else advises
		if f, is := e.Fun.(*ast.SelectorExpr); is && saidElsewhere(f) {
			return expression(f)
		}
		if len(e.Args) > 0 {
			return strings.NewReplacer("%d", "…", "%s", "…", "%v", "…", "%q", "…").Replace(expression(e.Args[0]))
		}
	case *ast.SelectorExpr:
		if saidElsewhere(e) {
			return "(said with the error, by what is wrong)"
		}
		return "…"
	case *ast.Ident:
		return "…"
	}
	return ""
}

// saidElsewhere tells whether a selector names what only an instance of the error can advise.
func saidElsewhere(e *ast.SelectorExpr) bool {
	return slices.Contains([]string{"Does", "Advice", "Remedy"}, e.Sel.Name)
}
