package clock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against limits on what is sent in a period that forget what was sent when the wall clock is set ahead.
func TestPackagesThatCountRequestsDoNotReadTheWallClock(t *testing.T) {
	for _, name := range []string{"control", "dispatch", "probe", "quarantine", "quota", "retry", "routing", "storefeed"} {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("package %s: %v, %d files", name, err, len(files))
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				selector, ok := n.(*ast.SelectorExpr)
				if !ok || selector.Sel.Name != "Now" {
					return true
				}
				if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" {
					t.Errorf("%s reads the wall clock", set.Position(n.Pos()))
				}
				return true
			})
		}
	}
}
