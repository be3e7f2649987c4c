package uplink_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

// oddBytes are those that mean something in a head, and some that may not stand in one.
const oddBytes = "\x00\x01\t\n\v\r\x1b \":/\x7f\x80"

// The lines of a head by RFC 9112, sections 4, which allows several blanks, and 5.
var (
	statusLine    = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?$`)
	fieldLine     = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*$")
	contentLength = regexp.MustCompile(`(?i)^content-length:[\t ]*([0-9]+)[\t ]*$`)
)

// latin1 maps each byte to one character, since package regexp reads UTF-8.
func latin1(b string) string {
	r := make([]rune, len(b))
	for i := range b {
		r[i] = rune(b[i])
	}
	return string(r)
}

// bodyOf returns the body of a response that its connection ends, or false if its head is not valid HTTP.
func bodyOf(text string) (string, bool) {
	length := -1
	for first := true; ; first = false {
		line, rest, ok := strings.Cut(text, "\n")
		text = rest
		line = strings.TrimSuffix(line, "\r")
		switch {
		case !ok:
			return "", false
		case line == "" && !first:
			if length < 0 {
				length = len(text)
			}
			return text[:min(length, len(text))], length <= len(text)
		case first && !statusLine.MatchString(latin1(line)), !first && !fieldLine.MatchString(latin1(line)):
			return "", false
		}
		if m := contentLength.FindStringSubmatch(line); m != nil {
			length, _ = strconv.Atoi(m[1])
		}
	}
}

// TestOddByteAnywhere puts an odd byte at each place of a head; a response is delivered only if its head is valid, and then with its body.
func TestOddByteAnywhere(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\nX-B: c d\r\n\r\n", "ok"
	texts := make(chan string, 1)
	convey.Convey("Wherever an odd byte stands in a head, callers get the upstream's body or none", t, func() {
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			readID(r)
			_, _ = io.WriteString(c, <-texts)
		})
		var wrong []string
		delivered, refused := 0, 0
		check := func(text string) {
			texts <- text
			// A kept connection that the upstream is just closing would fail the call before the text is sent.
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
			defer cl.Close()
			a := do(cl, s, "1")
			want, valid := bodyOf(text)
			switch {
			case a.Refusal == nil && (!valid || string(a.Body) != want):
				wrong = append(wrong, fmt.Sprintf("%q: %q", text, a.Body))
			case a.Refusal == nil:
				delivered++
			case a.Refusal.Ran != pomelo.RanUnknown:
				wrong = append(wrong, fmt.Sprintf("%q: %v", text, a.Refusal))
			default:
				refused++
			}
		}
		for i := range len(head) {
			for _, odd := range []byte(oddBytes) {
				check(head[:i] + string([]byte{odd}) + head[i:] + body)
				check(head[:i] + string([]byte{odd}) + head[i+1:] + body)
			}
		}
		convey.So(wrong, convey.ShouldBeEmpty)
		convey.So(delivered, convey.ShouldBeGreaterThan, 0)
		t.Logf("%d delivered, %d refused", delivered, refused)
	})
}
