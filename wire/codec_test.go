package wire_test

import (
	"bytes"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/smartystreets/goconvey/convey"
)

func encoded(c *wire.Codec, call pomelo.Call) []byte {
	var b bytes.Buffer
	err := c.Write(&b, pomelo.MessageCall, call.ID, call, call.Body)
	convey.So(err, convey.ShouldBeNil)
	return b.Bytes()
}

func TestCodec(t *testing.T) {
	convey.Convey("Given a codec", t, func() {
		c := wire.New(wire.WithLimits(1024, 16))
		call := pomelo.Call{ID: "a", Service: "shop", Method: "POST", Path: "/o", Body: []byte("body")}
		convey.Convey("a message that was written is read unchanged", func() {
			m, err := c.Read(bytes.NewReader(encoded(c, call)))
			convey.So(err, convey.ShouldBeNil)
			var got pomelo.Call
			convey.So(c.Decode(m, &got), convey.ShouldBeNil)
			got.Body = m.Body
			convey.So(got, convey.ShouldResemble, call)
			convey.So(m.ID, convey.ShouldEqual, "a")
		})
		convey.Convey("a message truncated at any byte is refused as incomplete", func() {
			b := encoded(c, call)
			for i := range b {
				_, err := c.Read(bytes.NewReader(b[:i]))
				convey.So(pomelo.IsKind(err, pomelo.KindProtocol), convey.ShouldBeTrue)
			}
		})
		convey.Convey("a body over the limit is refused and nothing is written", func() {
			var b bytes.Buffer
			err := c.Write(&b, pomelo.MessageCall, "a", call, make([]byte, 17))
			convey.So(pomelo.IsKind(err, pomelo.KindTooLarge), convey.ShouldBeTrue)
			convey.So(b.Len(), convey.ShouldEqual, 0)
		})
	})
}

func FuzzRead(f *testing.F) {
	c := wire.New()
	var b bytes.Buffer
	_ = c.Write(&b, pomelo.MessageCall, "a", pomelo.Call{ID: "a"}, []byte("x"))
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := c.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var call pomelo.Call
		if err := c.Decode(m, &call); err != nil && !pomelo.IsKind(err, pomelo.KindProtocol) {
			t.Fatal(err)
		}
	})
}
