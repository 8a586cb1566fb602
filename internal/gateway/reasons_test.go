package gateway

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestReasonsAreExplained checks that the operators' page mentions each reason that the
// code can give.
func TestReasonsAreExplained(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	reasons := append(stringConstants(t, "../dispatch/event.go", "Reason"), refusalReasons(t, "callers.go")...)
	g.Expect(len(reasons)).To(BeNumerically(">", 15))
	for _, reason := range reasons {
		g.Expect(strings.Contains(string(page), "`"+reason+"`")).To(BeTrue(), reason)
	}
}

// stringConstants returns the values of a file's string constants whose names have a
// prefix.
func stringConstants(t *testing.T, file, prefix string) (values []string) {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(spec.Names[0].Name, prefix) && len(spec.Values) == 1 {
			values = append(values, stringValue(t, spec.Values[0]))
		}
		return true
	})
	return values
}

// refusalReasons returns the reasons in a file's refusal literals.
func refusalReasons(t *testing.T, file string) (values []string) {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		lit, ok := n.(*ast.CompositeLit)
		if !ok {
			return true
		}
		if name, ok := lit.Type.(*ast.Ident); !ok || name.Name != "refusal" {
			return true
		}
		for i, e := range lit.Elts {
			if kv, keyed := e.(*ast.KeyValueExpr); keyed && kv.Key.(*ast.Ident).Name == "reason" {
				values = append(values, stringValue(t, kv.Value))
			} else if !keyed && i == 1 {
				values = append(values, stringValue(t, e))
			}
		}
		return true
	})
	return values
}

func stringValue(t *testing.T, e ast.Expr) string {
	t.Helper()
	if name, ok := e.(*ast.Ident); ok {
		if values := stringConstants(t, "callers.go", name.Name); len(values) == 1 {
			return values[0]
		}
	}
	lit, ok := e.(*ast.BasicLit)
	if !ok {
		t.Fatalf("%v is not a literal or a constant of callers.go", e)
	}
	value, err := strconv.Unquote(lit.Value)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
