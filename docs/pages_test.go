// Package docs contains the documentation pages. Its tests check that every test, log line, file and identifier that a
// page names exists.
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

// pages returns the text of each page of the repository by its path.
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

// sources contains the names and texts of the repository's Go files that pages may refer to.
type sources struct {
	declared map[string]bool // names outside of tests: "package", "Name", "package.Name" and "Type.member"
	tests    map[string]bool // the functions of test files, including tests and benchmarks
	literals []string        // the string literals outside of tests
}

// parseSources parses all Go files of the repository.
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

// declare adds declared names.
func (s *sources) declare(names ...string) {
	for _, name := range names {
		s.declared[name] = true
	}
}

// addTests adds the functions of a test file.
func (s *sources) addTests(file *ast.File) {
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
			s.tests[function.Name.Name] = true
		}
	}
}

// addNode adds the names that a syntax node of a package declares, or the text of the node if it is a string literal.
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

// qualifier returns the prefix of a function's qualified name: the type of the receiver, or the package.
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

// hasLiteral reports whether a string literal contains the text.
func (s *sources) hasLiteral(text string) bool {
	return slices.ContainsFunc(s.literals, func(literal string) bool { return strings.Contains(literal, text) })
}

func TestPagesNameTestsThatExist(t *testing.T) {
	code := parseSources(t)
	name := regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w+`)
	for path, text := range pages(t) {
		for _, test := range name.FindAllString(text, -1) {
			if !code.tests[test] {
				t.Errorf("%s names the test %s, which does not exist", path, test)
			}
		}
	}
}

// The targets of links are relative to the page, paths in backquotes to the root of the repository.
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

// expectFile fails the test unless the file that a page names exists.
func expectFile(t *testing.T, page, path string) {
	t.Helper()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s names a file that cannot be found: %v", page, err)
	}
}

// Only the pages that describe the current code are checked. Pages about incidents and measurements may name
// identifiers of earlier versions.
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
				t.Errorf("%s names the identifier %s, which no package declares", page, match[1])
			}
		}
	}
}

// lastTwoParts returns the last two parts of a dotted name, or the name itself if it has fewer.
func lastTwoParts(name string) string {
	parts := strings.Split(name, ".")
	return strings.Join(parts[max(0, len(parts)-2):], ".")
}

// isFileName reports whether a dotted name is the name of a file rather than an identifier.
func isFileName(name string) bool {
	extension := filepath.Ext(name)
	return extension == ".md" || extension == ".go" || extension == ".toml" || extension == ".txt"
}

// The first cell of each row in the table of log lines has a log message, and possibly its keys, in backquotes. Each
// must occur in a string literal of the code. Rows whose third cell names net/http are skipped, since the standard
// library logs these lines.
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
					t.Errorf("log line %q: no string literal of the code contains its part %q", quoted[1], part)
				}
			}
		}
	}
	if rows == 0 {
		t.Error("OPERATIONS.md: the table of log lines has 0 rows with a message, want at least 1")
	}
}
