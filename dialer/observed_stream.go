package dialer

import "github.com/quic-go/quic-go"

// observedStream keeps the first error of its stream: it holds the connection's error, which may be seen here before the connection's context ends, and which the codec's faults repeat only in words.
type observedStream struct {
	*quic.Stream
	err error
}

// Read reads from the stream.
func (o *observedStream) Read(b []byte) (int, error) {
	n, err := o.Stream.Read(b)
	o.observe(err)
	return n, err
}

// Write writes to the stream.
func (o *observedStream) Write(b []byte) (int, error) {
	n, err := o.Stream.Write(b)
	o.observe(err)
	return n, err
}

func (o *observedStream) observe(err error) {
	if o.err == nil {
		o.err = err
	}
}
