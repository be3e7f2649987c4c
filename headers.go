package pomelo

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	}
}

// EndToEndHeaders copies the headers that may be passed on: none of one connection only, none of the system's own, no key.
func EndToEndHeaders(h http.Header) http.Header {
	out := http.Header{}
	for k, v := range h {
		if !strings.HasPrefix(k, HeaderPrefix) {
			out[k] = v
		}
	}
	for _, f := range h.Values("Connection") {
		for _, n := range strings.Split(f, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders() {
		out.Del(n)
	}
	out.Del("Authorization")
	return out
}
