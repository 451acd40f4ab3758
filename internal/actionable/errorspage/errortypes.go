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
	doc         string // doc comment
	advice      string
}

// errorTypes reads all Go files under a folder except tests, and returns the types sorted by package and name.
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

// skipped returns fs.SkipDir for folders that contain no code of the module.
func skipped(folder string) error {
	isHidden := strings.HasPrefix(folder, ".") && folder != "." && folder != ".."
	if folder == "journal" || folder == "testdata" || isHidden {
		return filepath.SkipDir
	}
	return nil
}

// scan collects the declarations of the files that were read.
type scan struct {
	types []errorType       // without doc comments
	docs  map[string]string // doc comments of all types, by package and name
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

// sentence returns a type's doc comment without the name at its beginning.
func sentence(doc, name string) string {
	doc = strings.Join(strings.Fields(doc), " ")
	return strings.TrimPrefix(strings.TrimPrefix(doc, name+" is "), name+" ")
}

// receiverType returns the name of a method's receiver type.
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

// adviceText returns the texts that a method returns, joined if there are several. Parts that are only known at run time
// are replaced by an ellipsis.
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

// textOf returns the constant text of an expression, with an ellipsis in place of parts that aren't constant.
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
	case *ast.CallExpr: // Sprintf, or a call for another value's advice
		if f, is := e.Fun.(*ast.SelectorExpr); is && isKnownAtRunTime(f) {
			return textOf(f)
		}
		if len(e.Args) > 0 {
			return strings.NewReplacer("%d", "…", "%s", "…", "%v", "…", "%q", "…").Replace(textOf(e.Args[0]))
		}
	case *ast.SelectorExpr:
		if isKnownAtRunTime(e) {
			return "(given with the error, depends on the problem)"
		}
		return "…"
	case *ast.Ident:
		return "…"
	}
	return ""
}

// isKnownAtRunTime reports whether a selector stands for advice that is only known for an instance of the error.
func isKnownAtRunTime(e *ast.SelectorExpr) bool {
	return slices.Contains([]string{"Does", "Advice", "Remedy"}, e.Sel.Name)
}
