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
	maxFileLines  = 400 // of one decision file
	maxLineLength = 110 // characters, a tab counting as four
)

// decisionFiles returns the files that deploy/balancer.toml lists as the decision logic.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?ms)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list of decision files")
	}
	var files []string
	for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, string(match[1]))
	}
	return files
}

// Users port the decisions by hand, so each concern must fit on a few screens.
func TestDecisionFilesStayWithinTheirSize(t *testing.T) {
	for _, name := range decisionFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(text, []byte("\n"))
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, at most %d may be", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			line = bytes.ReplaceAll(line, []byte("\t"), []byte("    "))
			if len(line) > maxLineLength {
				t.Errorf("%s:%d has %d characters", name, i+1, len(line))
			}
		}
	}
}

func TestEveryFileButTheInterfaceAndValidationIsListedAsDecisions(t *testing.T) {
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	listed := decisionFiles(t)
	for _, name := range names {
		unlisted := strings.HasSuffix(name, "_test.go") || name == "api.go" || name == "validate.go"
		if !unlisted && !slices.Contains(listed, "policy/"+name) {
			t.Errorf("%s is not listed in deploy/balancer.toml", name)
		}
	}
}
