package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// errorType is a type with a method Advice.
type errorType struct {
	packagePath string // from the root, with slashes
	name        string
	doc         string // its comment
	advice      string
}

// errorTypes reads all Go files under a folder, but tests, and gives the types by package and name.
func errorTypes(root string) ([]errorType, error) {
	found := scan{docs: map[string]string{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipped(entry.Name())
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		return found.readFile(root, path)
	})
	if err != nil {
		return nil, err
	}
	for i, t := range found.types {
		found.types[i].doc = found.docs[t.packagePath+"."+t.name]
	}
	slices.SortFunc(found.types, func(a, b errorType) int {
		return strings.Compare(a.packagePath+"."+a.name, b.packagePath+"."+b.name)
	})
	return found.types, nil
}

// skipped is fs.SkipDir for folders without code of the module.
func skipped(folder string) error {
	isHidden := strings.HasPrefix(folder, ".") && folder != "." && folder != ".."
	if folder == "journal" || folder == "testdata" || isHidden {
		return filepath.SkipDir
	}
	return nil
}

// scan is what the files that were read have.
type scan struct {
	types []errorType       // without their comments
	docs  map[string]string // comments of all types, by package and name
}

func (s *scan) readFile(root, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	folder, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return err
	}
	packagePath := filepath.ToSlash(folder)
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.GenDecl:
			s.readTypes(packagePath, d)
		case *ast.FuncDecl:
			s.readMethod(packagePath, d)
		}
	}
	return nil
}

func (s *scan) readTypes(packagePath string, d *ast.GenDecl) {
	for _, spec := range d.Specs {
		t, is := spec.(*ast.TypeSpec)
		if is {
			s.docs[packagePath+"."+t.Name.Name] = sentence(d.Doc.Text(), t.Name.Name)
		}
	}
}

func (s *scan) readMethod(packagePath string, d *ast.FuncDecl) {
	if d.Name.Name != "Advice" || d.Recv == nil || d.Body == nil {
		return
	}
	name := receiverType(d.Recv)
	if name != "" {
		s.types = append(s.types, errorType{packagePath: packagePath, name: name, advice: adviceText(d.Body)})
	}
}

// sentence is a type's comment without its name at the beginning.
func sentence(doc, name string) string {
	doc = strings.Join(strings.Fields(doc), " ")
	return strings.TrimPrefix(strings.TrimPrefix(doc, name+" is "), name+" ")
}

// receiverType is the name of a method's type.
func receiverType(receivers *ast.FieldList) string {
	t := receivers.List[0].Type
	if pointer, is := t.(*ast.StarExpr); is {
		t = pointer.X
	}
	if identifier, is := t.(*ast.Ident); is {
		return identifier.Name
	}
	return ""
}

// adviceText is what a method advises: its texts, with a dash for what is only known when it happens, one after the other
// where there are several.
func adviceText(body *ast.BlockStmt) string {
	var texts []string
	ast.Inspect(body, func(n ast.Node) bool {
		result, is := n.(*ast.ReturnStmt)
		if !is || len(result.Results) != 1 {
			return true
		}
		text := strings.TrimSpace(textOf(result.Results[0]))
		if text != "" {
			texts = append(texts, text)
		}
		return true
	})
	return strings.Join(texts, "; or: ")
}

// textOf is the constant text of an expression, with a dash in place of what isn't constant.
func textOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		if s, err := strconv.Unquote(e.Value); err == nil {
			return s
		}
	case *ast.BinaryExpr:
		return textOf(e.X) + textOf(e.Y)
	case *ast.ParenExpr:
		return textOf(e.X)
	case *ast.CallExpr: // Sprintf, or what somebody else advises
		if f, is := e.Fun.(*ast.SelectorExpr); is && isKnownAtRunTime(f) {
			return textOf(f)
		}
		if len(e.Args) > 0 {
			return strings.NewReplacer("%d", "…", "%s", "…", "%v", "…", "%q", "…").Replace(textOf(e.Args[0]))
		}
	case *ast.SelectorExpr:
		if isKnownAtRunTime(e) {
			return "(said with the error, by what is wrong)"
		}
		return "…"
	case *ast.Ident:
		return "…"
	}
	return ""
}

// isKnownAtRunTime tells whether a selector names what only an instance of the error can advise.
func isKnownAtRunTime(e *ast.SelectorExpr) bool {
	return slices.Contains([]string{"Does", "Advice", "Remedy"}, e.Sel.Name)
}
