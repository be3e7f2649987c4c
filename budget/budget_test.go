package budget_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/smartystreets/goconvey/convey"
)

const size = 8 << 20

// endless is a body without an end; it counts the bytes read from it.
type endless struct{ read int }

// Read fills the buffer.
func (e *endless) Read(b []byte) (int, error) {
	e.read += len(b)
	return len(b), nil
}

func TestBudget(t *testing.T) {
	convey.Convey("Given a budget of 8 MiB", t, func() {
		b := budget.New(size)
		convey.Convey("a body within its limit is read whole, and its bytes are free again", func() {
			body := strings.Repeat("x", size/4)
			got, err := b.ReadAll(strings.NewReader(body))
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(got) == body, convey.ShouldBeTrue)
			convey.So(b.Used(), convey.ShouldEqual, 0)
		})
		convey.Convey("a body without an end is given up at the limit for one body", func() {
			e := &endless{}
			_, err := b.ReadAll(e)
			convey.So(errors.Is(err, budget.ErrBodyTooLarge), convey.ShouldBeTrue)
			convey.So(e.read, convey.ShouldBeLessThanOrEqualTo, b.BodyLimit()+1)
			convey.So(b.Used(), convey.ShouldEqual, 0)
		})
		convey.Convey("bodies that use it up are given up, and short ones are read all the same", func() {
			var stalled sync.WaitGroup
			release := make(chan struct{})
			exhausted := make(chan error, 8)
			for range 8 {
				stalled.Go(func() {
					_, err := b.ReadAll(io.MultiReader(bytes.NewReader(make([]byte, size/4)), blocked(release)))
					exhausted <- err
				})
			}
			convey.So(errors.Is(<-exhausted, budget.ErrExhausted), convey.ShouldBeTrue)
			got, err := b.ReadAll(strings.NewReader(strings.Repeat("x", 60<<10)))
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(got), convey.ShouldEqual, 60<<10)
			convey.So(b.Used(), convey.ShouldBeLessThanOrEqualTo, size)
			close(release)
			stalled.Wait()
			convey.So(b.Used(), convey.ShouldEqual, 0)
		})
	})
}

// blocked is a reader that ends when the channel is closed.
type blocked chan struct{}

// Read waits for the end.
func (b blocked) Read([]byte) (int, error) {
	<-b
	return 0, io.EOF
}
