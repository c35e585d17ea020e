package httphead

import (
	"strings"
	"testing"
)

func TestScannerEndsAtTheEmptyLine(t *testing.T) {
	for name, c := range map[string]struct {
		text         string
		bytes, lines int
		complete     bool
	}{
		"nothing":           {"", 0, 0, false},
		"incomplete line":   {"GET / HT", 8, 0, false},
		"incomplete head":   {"GET / HTTP/1.1\r\nA: b\r\n", 22, 2, false},
		"complete head":     {"GET / HTTP/1.1\r\nA: b\r\n\r\n", 24, 3, true},
		"line feeds only":   {"GET / HTTP/1.1\nA: b\n\n", 21, 3, true},
		"body of many rows": {"GET / HTTP/1.1\r\n\r\n" + strings.Repeat("\n", 2*MaxLines), 18, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			var whole, byBytes Scanner
			whole.Scan([]byte(c.text))
			for i := range len(c.text) {
				byBytes.Scan([]byte{c.text[i]})
			}
			if whole != byBytes {
				t.Errorf("Scan byte by byte: got %+v, want %+v as of the whole", byBytes, whole)
			}
			if whole.Bytes() != c.bytes || whole.lines != c.lines || whole.Complete() != c.complete {
				t.Errorf("Scan(%q): got %d bytes, %d lines, complete %v; want %d, %d, %v",
					c.text, whole.Bytes(), whole.lines, whole.Complete(), c.bytes, c.lines, c.complete)
			}
		})
	}
}

func TestScannerReportsTooManyLines(t *testing.T) {
	var scanner Scanner
	scanner.Scan([]byte(strings.Repeat("a:\n", MaxLines)))
	if scanner.TooManyLines() {
		t.Errorf("TooManyLines() after %d lines = true, want false", MaxLines)
	}
	scanner.Scan([]byte("a:\n"))
	if !scanner.TooManyLines() {
		t.Errorf("TooManyLines() after %d lines = false, want true", MaxLines+1)
	}
}
