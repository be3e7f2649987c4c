package hold_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/hold"
	"github.com/smartystreets/goconvey/convey"
)

const (
	size  = 8 << 20
	limit = 7 << 20
)

// endless is a body without an end; it counts the bytes read from it.
type endless struct{ read int64 }

// Read fills the buffer.
func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

func TestRequests(t *testing.T) {
	convey.Convey("Given 8 MiB for clients", t, func() {
		b := budget.New(size)
		h := hold.New(b)
		convey.Convey("a body is read whole, with a length and without, and counts until it is released", func() {
			for _, n := range []int{0, 1, 4 << 10, 64 << 10, 64<<10 + 1, 5 << 20} {
				body := strings.Repeat("x", n)
				for _, length := range []int64{int64(n), -1} {
					if n > 3<<20 && length < 0 {
						continue
					}
					h := hold.New(b)
					got, err := h.ReadRequest(io.LimitReader(strings.NewReader(body+"y"), int64(n)), length, limit)
					convey.So(err, convey.ShouldBeNil)
					convey.So(string(got) == body, convey.ShouldBeTrue)
					convey.So(b.Used(), convey.ShouldBeGreaterThanOrEqualTo, n)
					h.Release()
					convey.So(b.Used(), convey.ShouldEqual, 0)
				}
			}
		})
		convey.Convey("a claimed length takes no memory before a part of it has arrived", func() {
			_, err := h.ReadRequest(io.MultiReader(bytes.NewReader(make([]byte, 64<<10)), failing{}), 6<<20, limit)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(b.Used(), convey.ShouldBeLessThan, 1<<20)
		})
		convey.Convey("bodies without an end are given up at the limit for one, and when memory is short", func() {
			e := &endless{}
			_, err := h.ReadRequest(e, -1, 1<<20)
			convey.So(errors.Is(err, budget.ErrBodyTooLarge), convey.ShouldBeTrue)
			convey.So(e.read, convey.ShouldEqual, 1<<20+1)
			_, err = h.ReadRequest(&endless{}, -1, size)
			convey.So(errors.Is(err, budget.ErrExhausted), convey.ShouldBeTrue)
			convey.So(b.Used(), convey.ShouldBeLessThanOrEqualTo, size)
		})
		convey.Convey("a large holder leaves a part to others", func() {
			convey.So(errors.Is(h.Take(size), budget.ErrExhausted), convey.ShouldBeTrue)
			convey.So(h.Take(6<<20), convey.ShouldBeNil)
			convey.So(errors.Is(hold.New(b).Take(1<<20+1), budget.ErrExhausted), convey.ShouldBeTrue)
			convey.So(hold.New(b).Take(100<<10), convey.ShouldBeNil)
		})
		convey.Convey("a released hold takes nothing any more", func() {
			h.Release()
			h.Set(100)
			h.Add(100)
			convey.So(errors.Is(h.Take(100), budget.ErrExhausted), convey.ShouldBeTrue)
			convey.So(b.Used(), convey.ShouldEqual, 0)
		})
		convey.Convey("no hold counts nothing", func() {
			convey.So(hold.FromContext(context.Background()).Take(size+1), convey.ShouldBeNil)
			convey.So(b.Used(), convey.ShouldEqual, 0)
		})
	})
}

func TestAnswers(t *testing.T) {
	convey.Convey("Given 8 MiB for clients, of which another holds 6", t, func() {
		b := budget.New(size)
		other := hold.New(b)
		convey.So(other.Take(6<<20), convey.ShouldBeNil)
		h := hold.New(b)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		body := strings.Repeat("x", 4<<20)
		convey.Convey("a long answer waits for its memory", func() {
			time.AfterFunc(200*time.Millisecond, other.Release)
			got, err := h.ReadAnswer(ctx, strings.NewReader(body), int64(len(body)), limit)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(got) == body, convey.ShouldBeTrue)
			convey.So(b.Used(), convey.ShouldEqual, len(body))
		})
		convey.Convey("a long answer whose memory was reserved does not wait", func() {
			other.Release()
			convey.So(h.Reserve(5<<20), convey.ShouldBeNil)
			third := hold.New(b)
			convey.So(third.Take(2<<20), convey.ShouldBeNil)
			_, err := h.ReadAnswer(ctx, strings.NewReader(body), int64(len(body)), limit)
			convey.So(err, convey.ShouldBeNil)
			convey.So(h.Bytes(), convey.ShouldEqual, 5<<20)
		})
		convey.Convey("a short answer never waits", func() {
			convey.So(hold.New(b).Take(200<<10), convey.ShouldBeNil)
			other.Add(size)
			got, err := h.ReadAnswer(ctx, strings.NewReader(body[:1000]), -1, limit)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(got), convey.ShouldEqual, 1000)
		})
		convey.Convey("a long answer without a length waits for a short time", func() {
			_, err := h.ReadAnswer(ctx, &endless{}, -1, limit)
			convey.So(errors.Is(err, budget.ErrExhausted), convey.ShouldBeTrue)
			convey.So(ctx.Err(), convey.ShouldBeNil)
		})
		convey.Convey("the wait ends with the context", func() {
			brief, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := h.ReadAnswer(brief, strings.NewReader(body), int64(len(body)), limit)
			convey.So(errors.Is(err, context.DeadlineExceeded), convey.ShouldBeTrue)
		})
		convey.Convey("an answer that is cut is an error", func() {
			other.Release()
			_, err := h.ReadAnswer(ctx, strings.NewReader(body[:100_000]), int64(len(body)), limit)
			convey.So(errors.Is(err, io.ErrUnexpectedEOF), convey.ShouldBeTrue)
		})
	})
}

// failing is a reader that fails.
type failing struct{}

// Read fails.
func (failing) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }
