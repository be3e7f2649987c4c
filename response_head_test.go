package pomelo_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// validate parses a response head, and returns the error of the parser or of ValidateResponse.
func validate(head string) error {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	if err != nil {
		return err
	}
	return pomelo.ValidateResponse(r)
}

func TestValidateResponse(t *testing.T) {
	convey.Convey("A head of HTTP/1.1 or HTTP/1.0 with a status between 100 and 599 is valid", t, func() {
		for _, line := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 299", "HTTP/1.1 418 I'm a teapot", "HTTP/1.1 599 \t\xe9"} {
			convey.So(validate(line+"\r\n\r\n"), convey.ShouldBeNil)
		}
	})
	convey.Convey("Any other version or status is not", t, func() {
		for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +99 OK", "HTTP/1.1 -01 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK"} {
			convey.So(validate(line+"\r\n\r\n"), convey.ShouldNotBeNil)
		}
	})
	convey.Convey("A field is valid if its name is a token and its value holds no control byte", t, func() {
		for _, field := range []string{"X: ", "X: a\tb", "X: \xe9", "!#$%&'*+-.^_`|~09azAZ: 1", "X:1"} {
			convey.So(validate("HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n"), convey.ShouldBeNil)
		}
		for _, field := range []string{"X : 1", "X Y: 1", "X\tY: 1", "X\x00: 1", ": 1", "X\xe9: 1", "X: a\x00b", "X: a\x7f", "X(Y): 1"} {
			convey.So(validate("HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n"), convey.ShouldNotBeNil)
		}
	})
}
