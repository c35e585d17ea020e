package httpheader

import (
	"net/http"
	"reflect"
	"testing"
)

func TestEndToEndRemovesHopByHopFields(t *testing.T) {
	for name, c := range map[string]struct{ header, want http.Header }{
		"empty header": {http.Header{}, http.Header{}},
		"end-to-end fields are kept": {
			http.Header{"Accept": {"a", "b"}, "X-Request-Id": {"1"}, "Authorization": {"x"}},
			http.Header{"Accept": {"a", "b"}, "X-Request-Id": {"1"}, "Authorization": {"x"}},
		},
		"hop-by-hop fields": {
			http.Header{
				"Connection": {"close"}, "Keep-Alive": {"timeout=5"}, "Proxy-Authenticate": {"x"},
				"Proxy-Authorization": {"x"}, "Proxy-Connection": {"close"}, "Te": {"trailers"},
				"Trailer": {"x"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"x"}, "Accept": {"a"},
			},
			http.Header{"Accept": {"a"}},
		},
		"fields that the receiver handles or the sender sets": {
			http.Header{"Expect": {"100-continue"}, "Content-Length": {"3"}, "Content-Type": {"text/plain"}},
			http.Header{"Content-Type": {"text/plain"}},
		},
		"fields listed in Connection": {
			http.Header{
				"Connection": {"x-one, X-TWO", "keep-alive,x-three"},
				"X-One":      {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "X-Four": {"4"},
			},
			http.Header{"X-Four": {"4"}},
		},
		"Connection with empty elements": {
			http.Header{"Connection": {", ,x-one,"}, "X-One": {"1"}, "X-Two": {"2"}},
			http.Header{"X-Two": {"2"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := EndToEnd(c.header); !reflect.DeepEqual(got, c.want) {
				t.Errorf("EndToEnd(%v) = %v, want %v", c.header, got, c.want)
			}
		})
	}
}

func TestEndToEndDoesNotModifyItsArgument(t *testing.T) {
	header := http.Header{"Connection": {"x-one"}, "X-One": {"1"}, "Accept": {"a"}}
	forwarded := EndToEnd(header)
	forwarded["Accept"][0] = "changed"
	want := http.Header{"Connection": {"x-one"}, "X-One": {"1"}, "Accept": {"a"}}
	if !reflect.DeepEqual(header, want) {
		t.Errorf("argument after EndToEnd: got %v, want %v", header, want)
	}
}
