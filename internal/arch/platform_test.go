package arch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches the names that the interfaces of the users' platform define.
var platformNames = regexp.MustCompile(`(?i)pollentack-(request|target|server|not|part|missing|instance|cold)|"/pollentack/|\bop/(config|evacuate)|kv-(key|range|watch)|POLLENTACK_CONFIG|` +
	`\b(route_type|objective_ms|max_attempts|min_coverage|allowed_regions|cold_left_ms|non_idempotent|current_rev|has_more|internal_ports)\b`)

// TestPlatformNamesStayInPlatform checks that no other folder contains names of the platform
// in strings or comments, tests included.
func TestPlatformNamesStayInPlatform(t *testing.T) {
	visitFiles(t, parser.ParseComments, func(path string, fset *token.FileSet, file *ast.File) {
		if strings.HasPrefix(path, "platform/") || path == "internal/arch/platform_test.go" {
			return
		}
		for _, group := range file.Comments {
			if platformNames.MatchString(group.Text()) {
				t.Errorf("%s: platform name in a comment outside platform/", fset.Position(group.Pos()))
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING && platformNames.MatchString(lit.Value) {
				t.Errorf("%s: platform name %s outside platform/", fset.Position(lit.Pos()), lit.Value)
			}
			return true
		})
	})
}

// TestPlatformStartsNoCore checks that packages in platform/ use only the types of the
// relay, discovery and fleet cores and construct none of them, and that only cmd/ imports
// platform/.
func TestPlatformStartsNoCore(t *testing.T) {
	const module = "pollentack.example/pollentack/"
	coreConstructor := regexp.MustCompile(`\b(relay|discovery|fleet)\.New\b`)
	visitSourceFiles(t, func(path string, fset *token.FileSet, file *ast.File) {
		inside := strings.HasPrefix(path, "platform/")
		for _, spec := range file.Imports {
			name := strings.Trim(spec.Path.Value, `"`)
			if strings.HasPrefix(name, module+"platform") && !inside && !strings.HasPrefix(path, "cmd/") {
				t.Errorf("%s: imports %s outside cmd/", fset.Position(spec.Pos()), name)
			}
		}
		if !inside {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := call.X.(*ast.Ident); ok && coreConstructor.MatchString(x.Name+"."+call.Sel.Name) {
					t.Errorf("%s: platform/ constructs a core", fset.Position(call.Pos()))
				}
			}
			return true
		})
	})
}
