// Package arch holds the checks of the code's shape that no linter makes.
package arch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../.."

// visitSources parses every Go file that is neither a test nor generated.
func visitSources(t *testing.T, visit func(path string, fset *token.FileSet, file *ast.File)) {
	t.Helper()
	visitFiles(t, 0, func(path string, fset *token.FileSet, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			visit(path, fset, file)
		}
	})
}

// visitFiles is visitSources with the test files.
func visitFiles(t *testing.T, mode parser.Mode, visit func(path string, fset *token.FileSet, file *ast.File)) {
	t.Helper()
	fset := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		if strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		file, err := parser.ParseFile(fset, path, nil, mode)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		visit(filepath.ToSlash(rel), fset, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestGoroutinesStartInDutyOnly checks that no thread is started outside duty.
func TestGoroutinesStartInDutyOnly(t *testing.T) {
	visitSources(t, func(path string, fset *token.FileSet, file *ast.File) {
		if strings.HasPrefix(path, "internal/duty/") {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if stmt, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: go statement outside internal/duty", fset.Position(stmt.Pos()))
			}
			return true
		})
	})
}

// TestCoreHasNoChannels checks that the core neither waits nor signals.
func TestCoreHasNoChannels(t *testing.T) {
	visitSources(t, func(path string, fset *token.FileSet, file *ast.File) {
		if !strings.HasPrefix(path, "internal/core/") {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ChanType, *ast.SelectStmt, *ast.SendStmt:
				t.Errorf("%s: channel in the core", fset.Position(n.Pos()))
			}
			return true
		})
	})
}

// TestCoreImportsNoInputOutput checks that the core reaches no socket, file, lock or clock.
func TestCoreImportsNoInputOutput(t *testing.T) {
	banned := []string{"net", "os", "io", "sync", "syscall", "runtime", "log", "context"}
	visitSources(t, func(path string, fset *token.FileSet, file *ast.File) {
		if !strings.HasPrefix(path, "internal/core/") {
			return
		}
		for _, spec := range file.Imports {
			name := strings.Trim(spec.Path.Value, `"`)
			for _, b := range banned {
				if name == b || strings.HasPrefix(name, b+"/") {
					t.Errorf("%s: core imports %s", fset.Position(spec.Pos()), name)
				}
			}
		}
	})
}
