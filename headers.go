package pomelo

import (
	"net/http"
	"strings"
)

// hopByHopHeaders returns the headers that apply to a single connection (RFC 9110, section 7.6.1).
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	}
}

// EndToEndHeaders returns a copy of the headers to forward, without hop-by-hop headers, the protocol's own headers and the caller's key.
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
