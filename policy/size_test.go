package policy

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	maxFileLines  = 400 // lines of a decision file
	maxLineLength = 110 // bytes of a line, where a tab counts as four
)

// decisionFiles returns the paths of the files that deploy/balancer.toml lists as the decision logic.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatalf("read the list of decision files: %v", err)
	}
	list := regexp.MustCompile(`(?ms)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no \"policy\" list, which names the decision files")
	}
	var files []string
	for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, string(match[1]))
	}
	return files
}

// Guards against files that are hard to port. Users port the decision logic by hand, so each file must fit on a few
// screens.
func TestDecisionFilesStayWithinSizeLimits(t *testing.T) {
	for _, name := range decisionFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatalf("read a file that deploy/balancer.toml lists: %v", err)
		}
		lines := bytes.Split(text, []byte("\n"))
		if len(lines) > maxFileLines {
			t.Errorf("%s: got %d lines, want at most %d", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			line = bytes.ReplaceAll(line, []byte("\t"), []byte("    "))
			if len(line) > maxLineLength {
				t.Errorf("%s:%d: got %d bytes, want at most %d", name, i+1, len(line), maxLineLength)
			}
		}
	}
}

// All files of the package are decision files except the API and the validation of settings, which make no decisions
// about requests.
func TestDeployFileListsAllDecisionFiles(t *testing.T) {
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatalf("list the files of the package: %v", err)
	}
	listed := decisionFiles(t)
	for _, name := range names {
		unlisted := strings.HasSuffix(name, "_test.go") || name == "api.go" || name == "validate.go"
		if !unlisted && !slices.Contains(listed, "policy/"+name) {
			t.Errorf("deploy/balancer.toml does not list policy/%s, want all decision files", name)
		}
	}
}
