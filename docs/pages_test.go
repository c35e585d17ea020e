// Package docs holds the pages for readers. Its tests hold the pages to the code: every test, log line, file and
// identifier that a page names exists.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = ".."

// pages returns the path and the text of each page of the repository.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/incidents/*.md"} {
		paths, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			found[path] = string(text)
		}
	}
	return found
}

// sources is what the Go files of the repository declare.
type sources struct {
	declared map[string]bool // "Name", "package.Name" and "Type.member"
	tests    map[string]bool // names of tests, benchmarks and examples
	literals []string        // string literals of the programs
}

func parseSources(t *testing.T) *sources {
	t.Helper()
	found := &sources{declared: map[string]bool{}, tests: map[string]bool{}}
	err := filepath.WalkDir(repositoryRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, "_test.go") {
			found.addTests(file)
			return nil
		}
		found.declare(file.Name.Name)
		ast.Inspect(file, func(node ast.Node) bool {
			found.addNode(file.Name.Name, node)
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func (s *sources) declare(names ...string) {
	for _, name := range names {
		s.declared[name] = true
	}
}

func (s *sources) addTests(file *ast.File) {
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
			s.tests[function.Name.Name] = true
		}
	}
}

func (s *sources) addNode(pkg string, node ast.Node) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		s.declare(n.Name.Name, qualifier(pkg, n)+"."+n.Name.Name)
	case *ast.ValueSpec:
		for _, name := range n.Names {
			s.declare(name.Name, pkg+"."+name.Name)
		}
	case *ast.TypeSpec:
		s.declare(n.Name.Name, pkg+"."+n.Name.Name)
		s.declareMembers(n)
	case *ast.BasicLit:
		if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING {
			s.literals = append(s.literals, text)
		}
	}
}

// qualifier returns what precedes a function's name in a page: the receiver's type, or the package.
func qualifier(pkg string, function *ast.FuncDecl) string {
	if function.Recv == nil {
		return pkg
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	return receiver.(*ast.Ident).Name
}

// declareMembers adds the fields of a struct or the methods of an interface.
func (s *sources) declareMembers(spec *ast.TypeSpec) {
	var members *ast.FieldList
	switch kind := spec.Type.(type) {
	case *ast.StructType:
		members = kind.Fields
	case *ast.InterfaceType:
		members = kind.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			s.declare(spec.Name.Name + "." + name.Name)
		}
	}
}

func (s *sources) hasLiteral(text string) bool {
	return slices.ContainsFunc(s.literals, func(literal string) bool { return strings.Contains(literal, text) })
}

func TestPagesNameTestsThatExist(t *testing.T) {
	code := parseSources(t)
	name := regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w+`)
	for path, text := range pages(t) {
		for _, test := range name.FindAllString(text, -1) {
			if !code.tests[test] {
				t.Errorf("%s: no test %s", path, test)
			}
		}
	}
}

func TestPagesNameFilesThatExist(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	quoted := regexp.MustCompile("`((?:cmd|internal|policy|deploy|docs)/[\\w./-]*)`")
	for path, text := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			expectFile(t, path, filepath.Join(filepath.Dir(path), match[1]))
		}
		for _, match := range quoted.FindAllStringSubmatch(text, -1) {
			expectFile(t, path, filepath.Join(repositoryRoot, match[1]))
		}
	}
}

func expectFile(t *testing.T, page, path string) {
	t.Helper()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s: %v", page, err)
	}
}

// The pages about the present code name its identifiers; those of incidents and measurements tell of earlier versions.
func TestPagesNameIdentifiersThatExist(t *testing.T) {
	code := parseSources(t)
	quoted := regexp.MustCompile("`((?:[A-Za-z]\\w*\\.)+[A-Za-z]\\w*|[a-z]+[A-Z]\\w*)`")
	for _, page := range []string{"ARCHITECTURE.md", "rules.md", "race-conditions.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range quoted.FindAllStringSubmatch(string(text), -1) {
			if name := lastTwoParts(match[1]); !code.declared[name] && !isFileName(match[1]) {
				t.Errorf("%s: nothing is named %s", page, match[1])
			}
		}
	}
}

// lastTwoParts returns the last two parts of a dotted name.
func lastTwoParts(name string) string {
	parts := strings.Split(name, ".")
	return strings.Join(parts[max(0, len(parts)-2):], ".")
}

func isFileName(name string) bool {
	extension := filepath.Ext(name)
	return extension == ".md" || extension == ".go" || extension == ".toml" || extension == ".txt"
}

// Each row of the table of log lines starts with messages and keys in quotes.
func TestLogLinesExist(t *testing.T) {
	code := parseSources(t)
	text, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(text), "\n## Log lines\n")
	table, _, _ = strings.Cut(table, "\n## ")
	rows := 0
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || !strings.Contains(cells[1], "`") || strings.Contains(cells[3], "net/http") {
			continue
		}
		rows++
		for _, quoted := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[1], -1) {
			message := strings.TrimPrefix(strings.TrimSuffix(quoted[1], " ..."), "balancer: ")
			for part := range strings.SplitSeq(message, " N:") {
				if !code.hasLiteral(strings.Trim(part, ": ")) {
					t.Errorf("no log line has %q", part)
				}
			}
		}
	}
	if rows == 0 {
		t.Error("the table of log lines has no row")
	}
}
