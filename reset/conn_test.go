package reset_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo/reset"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// settle is the time in which the kernel delivers a segment over loopback.
	settle = 20 * time.Millisecond
	// writeEnd is the time after which a write that should have ended counts as waiting.
	writeEnd = 5 * time.Second
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (net.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = l.Close() }()
	local, err := net.Dial("tcp", l.Addr().String())
	convey.So(err, convey.ShouldBeNil)
	remote, err := l.Accept()
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	return local, remote.(*net.TCPConn)
}

func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
	time.Sleep(settle)
}

func TestReset(t *testing.T) {
	convey.Convey("Given a connection whose peer has sent some bytes", t, func() {
		local, remote := pair(t)
		c := reset.New(local)
		_, err := io.WriteString(remote, "part")
		convey.So(err, convey.ShouldBeNil)

		convey.Convey("a reset is not the end of file, if the reader receives it", func() {
			abort(remote)
			b, err := io.ReadAll(c)
			convey.So(errors.Is(err, syscall.ECONNRESET), convey.ShouldBeTrue)
			convey.So(string(b), convey.ShouldEqual, "part")
		})
		convey.Convey("nor if a write has received it", func() {
			abort(remote)
			_, err = io.WriteString(c, "x")
			convey.So(errors.Is(err, syscall.ECONNRESET), convey.ShouldBeTrue)
			_, err = io.WriteString(c, "x")
			convey.So(errors.Is(err, syscall.EPIPE), convey.ShouldBeTrue)
			b, err := io.ReadAll(c)
			convey.So(errors.Is(err, syscall.ECONNRESET), convey.ShouldBeTrue)
			convey.So(string(b), convey.ShouldEqual, "part")
		})
		convey.Convey("a FIN is the end of file, also while a write waits for the peer", func() {
			written := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, 64<<20))
				written <- err
			}()
			time.Sleep(settle)
			convey.So(remote.CloseWrite(), convey.ShouldBeNil)
			b, err := io.ReadAll(c)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, "part")
			select {
			case err := <-written:
				convey.So(err, convey.ShouldNotBeNil)
			case <-time.After(writeEnd):
				convey.So("the write", convey.ShouldEqual, "ended")
			}
		})
		convey.Convey("a FIN is the end of file, also if a reset follows it and a write has received that", func() {
			convey.So(remote.CloseWrite(), convey.ShouldBeNil)
			time.Sleep(settle)
			abort(remote)
			_, err = io.WriteString(c, "x")
			convey.So(errors.Is(err, syscall.EPIPE), convey.ShouldBeTrue)
			b, err := io.ReadAll(c)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, "part")
		})
	})
}
