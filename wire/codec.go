package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/pomeloworks/pomelo"
)

// Sizes in bytes; the prefix is the message's kind and the lengths of its head and body.
const (
	prefixBytes      = 9
	idLengthBytes    = 2
	maxIDBytes       = 256
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 1 << 20
	firstReadBytes   = 64 << 10
	// growthFactor keeps the copies of a long message small while it grows.
	growthFactor = 4
)

// Codec writes and reads messages within its limits; it is safe for concurrent use.
type Codec struct {
	maxHeadBytes int
	maxBodyBytes int
	encoder      cbor.EncMode
	decoder      cbor.DecMode
}

// New returns a codec; its default limits are 64 KiB for a head and 1 MiB for a body.
func New(opts ...func(*Codec)) *Codec {
	c := &Codec{maxHeadBytes: defaultHeadBytes, maxBodyBytes: defaultBodyBytes}
	for _, o := range opts {
		o(c)
	}
	c.encoder = mustEncoder()
	c.decoder = mustDecoder()
	return c
}

// WithLimits sets the maximum size of a head and of a body in bytes.
func WithLimits(head, body int) func(*Codec) {
	return func(c *Codec) {
		c.maxHeadBytes = head
		c.maxBodyBytes = body
	}
}

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// largeBodyBytes is the size from which a body is written by itself, not copied into one buffer with its head.
const largeBodyBytes = 32 << 10

// Write writes one message with its head encoded as CBOR; it returns KindTooLarge and writes nothing if the message exceeds a limit.
func (c *Codec) Write(w io.Writer, kind pomelo.MessageKind, id string, head any, body []byte) error {
	h, err := c.encoder.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	if len(id) > maxIDBytes {
		return pomelo.NewFault(pomelo.KindTooLarge, "the message's id is over the limit", "send a shorter id")
	}
	if err := c.checkLimits(len(h), len(body)); err != nil {
		return err
	}
	inline := body
	if len(body) >= largeBodyBytes {
		inline = nil
	}
	b := make([]byte, 0, prefixBytes+len(h)+len(inline)+idLengthBytes+len(id))
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(h)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, h...)
	if len(body) >= largeBodyBytes {
		if _, err := w.Write(b); err != nil {
			return errors.Wrap(err, "write message")
		}
		if _, err := w.Write(body); err != nil {
			return errors.Wrap(err, "write message")
		}
		b = b[:0]
	}
	b = append(b, inline...)
	b = binary.BigEndian.AppendUint16(b, uint16(len(id)))
	b = append(b, id...)
	_, err = w.Write(b)
	return errors.Wrap(err, "write message")
}

// Read returns the next message; it returns KindProtocol if the message is truncated, and KindTooLarge if its head or body exceeds a limit.
func (c *Codec) Read(r io.Reader) (pomelo.Message, error) {
	return c.ReadCounted(r, func(pomelo.MessageKind, int64) error { return nil })
}

// ReadCounted is Read, and calls take with the message's kind and size before it reads them; after an error of take, which it returns, the message has its head only.
func (c *Codec) ReadCounted(r io.Reader, take func(pomelo.MessageKind, int64) error) (pomelo.Message, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return pomelo.Message{}, truncatedFault(err)
	}
	head := binary.BigEndian.Uint32(prefix[1:5])
	body := binary.BigEndian.Uint32(prefix[5:9])
	if err := c.checkLimits(int(head), int(body)); err != nil {
		return pomelo.Message{}, err
	}
	kind := pomelo.MessageKind(prefix[0])
	if refused := take(kind, int64(head)+int64(body)); refused != nil {
		h, err := readExactly(r, int(head))
		if err != nil {
			return pomelo.Message{}, truncatedFault(err)
		}
		return pomelo.Message{Kind: kind, Head: h}, refused
	}
	b, err := readExactly(r, int(head)+int(body))
	if err != nil {
		return pomelo.Message{}, truncatedFault(err)
	}
	id, err := c.readID(r)
	if err != nil {
		return pomelo.Message{}, err
	}
	return pomelo.Message{
		Kind: kind,
		ID:   id,
		Head: b[:head:head],
		Body: b[head:],
	}, nil
}

// readExactly reads n bytes; memory is taken as they arrive, since a length is only a claim until then.
func readExactly(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, firstReadBytes))
	for len(b) < n {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(n, growthFactor*cap(b))), b...)
		}
		read, err := io.ReadFull(r, b[len(b):cap(b)])
		b = b[:len(b)+read]
		if err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Decode decodes the message's head into head, a pointer; it returns KindProtocol if the head is invalid.
func (c *Codec) Decode(m pomelo.Message, head any) error {
	if err := c.decoder.Unmarshal(m.Head, head); err != nil {
		return protocolFault("the message's head can't be read: " + err.Error())
	}
	return nil
}

func (c *Codec) readID(r io.Reader) (string, error) {
	var size [idLengthBytes]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return "", truncatedFault(err)
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxIDBytes {
		return "", protocolFault("the message's tail is too long")
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", truncatedFault(err)
	}
	return string(b), nil
}

func (c *Codec) checkLimits(head, body int) error {
	if head > c.maxHeadBytes {
		return pomelo.NewFault(pomelo.KindTooLarge, "the head is over the limit", "send fewer or shorter headers, or raise limits.head_bytes")
	}
	if body > c.maxBodyBytes {
		return pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body, or raise limits.body_bytes")
	}
	return nil
}

func truncatedFault(err error) error {
	return protocolFault("the message was cut short: " + err.Error())
}

func protocolFault(message string) error {
	return &pomelo.Fault{
		Kind:    pomelo.KindProtocol,
		Message: message,
		Remedy:  "check that all nodes run the same version",
		Ran:     pomelo.RanUnknown,
	}
}
