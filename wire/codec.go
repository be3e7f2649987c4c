package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/pomeloworks/pomelo"
)

// Sizes in bytes.
const (
	prefixBytes      = 9
	tailPrefixBytes  = 2
	tailLimit        = 256
	defaultHeadLimit = 64 << 10
	defaultBodyLimit = 1 << 20
)

// Codec writes and reads messages within its limits; it is safe for concurrent use.
type Codec struct {
	headLimit int
	bodyLimit int
	encoder   cbor.EncMode
	decoder   cbor.DecMode
}

// New returns a codec with limits of 64 KiB a head and 1 MiB a body unless the options say otherwise.
func New(opts ...func(*Codec)) *Codec {
	c := &Codec{headLimit: defaultHeadLimit, bodyLimit: defaultBodyLimit}
	for _, o := range opts {
		o(c)
	}
	c.encoder = mustEncoder()
	c.decoder = mustDecoder()
	return c
}

// WithLimits sets the largest head and body in bytes.
func WithLimits(head, body int) func(*Codec) {
	return func(c *Codec) {
		c.headLimit = head
		c.bodyLimit = body
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

// Write sends one whole message; head is encoded as CBOR, and a message over the limits is KindTooLarge with nothing sent.
func (c *Codec) Write(w io.Writer, kind pomelo.MessageKind, id string, head any, body []byte) error {
	h, err := c.encoder.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	if len(id) > tailLimit {
		return pomelo.NewFault(pomelo.KindTooLarge, "the message's id is over the limit", "send a shorter id")
	}
	if err := c.check(len(h), len(body)); err != nil {
		return err
	}
	b := make([]byte, 0, prefixBytes+len(h)+len(body)+tailPrefixBytes+len(id))
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(h)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, h...)
	b = append(b, body...)
	b = binary.BigEndian.AppendUint16(b, uint16(len(id)))
	b = append(b, id...)
	_, err = w.Write(b)
	return errors.Wrap(err, "write message")
}

// Read returns the next whole message; a message cut short is KindProtocol.
func (c *Codec) Read(r io.Reader) (pomelo.Message, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return pomelo.Message{}, incomplete(err)
	}
	head := binary.BigEndian.Uint32(prefix[1:5])
	body := binary.BigEndian.Uint32(prefix[5:9])
	if err := c.check(int(head), int(body)); err != nil {
		return pomelo.Message{}, err
	}
	b := make([]byte, int(head)+int(body))
	if _, err := io.ReadFull(r, b); err != nil {
		return pomelo.Message{}, incomplete(err)
	}
	id, err := c.readTail(r)
	if err != nil {
		return pomelo.Message{}, err
	}
	return pomelo.Message{
		Kind: pomelo.MessageKind(prefix[0]),
		ID:   id,
		Head: b[:head:head],
		Body: b[head:],
	}, nil
}

// Decode fills head, a pointer, from the message's head; an unreadable one is KindProtocol.
func (c *Codec) Decode(m pomelo.Message, head any) error {
	if err := c.decoder.Unmarshal(m.Head, head); err != nil {
		return protocolFault("the message's head can't be read: " + err.Error())
	}
	return nil
}

func (c *Codec) readTail(r io.Reader) (string, error) {
	var size [tailPrefixBytes]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return "", incomplete(err)
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > tailLimit {
		return "", protocolFault("the message's tail is too long")
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", incomplete(err)
	}
	return string(b), nil
}

func (c *Codec) check(head, body int) error {
	if head > c.headLimit {
		return pomelo.NewFault(pomelo.KindTooLarge, "the head is over the limit", "send fewer or shorter headers, or raise limits.head_bytes")
	}
	if body > c.bodyLimit {
		return pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body, or raise limits.body_bytes")
	}
	return nil
}

func incomplete(err error) error {
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
