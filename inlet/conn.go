package inlet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/stack"
)

const (
	// readAhead bounds the requests of one connection that are handled at once.
	readAhead = 32
	// writeTimeout is for a caller that does not read its answer, in milliseconds.
	writeTimeout = pomelo.Millis(20_000)
	bufferBytes  = 4 << 10
)

// conn is one caller's connection.
type conn struct {
	net.Conn
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	limit  *headLimit
	reader *bufio.Reader
	slots  chan *slot
	// begun belongs to the reader: bytes of the next request have come.
	begun bool
	mu    sync.Mutex
	open  int
	// last is set once a request has been read behind which no other is taken.
	last bool
}

// slot is the place of one answer in the connection's order.
type slot struct {
	reply chan pomelo.Reply
	// head marks a request whose answer has no body.
	head  bool
	close bool
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &headLimit{Reader: c}
	return &conn{
		Conn:   c,
		server: s,
		ctx:    ctx,
		cancel: cancel,
		limit:  l,
		reader: bufio.NewReaderSize(l, bufferBytes),
		slots:  make(chan *slot, readAhead),
	}
}

func (c *conn) serve() {
	go c.write()
	c.read()
	close(c.slots)
}

// read takes requests until the caller closes, breaks the protocol, or is to be sent away.
func (c *conn) read() {
	for !c.ended() {
		r, body, err := c.request()
		if err != nil {
			c.broken(err)
			return
		}
		c.begin(r, body)
	}
	// The caller may only be waited for now; its close still cancels what runs.
	c.drainInput()
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// request reads one request whole.
func (c *conn) request() (*http.Request, []byte, error) {
	l := c.server.bounds()
	c.limit.left = int64(l.HeadBytes + bufferBytes)
	c.begun = false
	if err := c.await(l); err != nil {
		return nil, nil, err
	}
	c.begun = true
	_ = c.SetReadDeadline(time.Now().Add(l.HeadTimeout.Duration()))
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	if r.ContentLength > int64(l.BodyBytes) {
		return nil, nil, tooLarge()
	}
	c.limit.left = int64(l.BodyBytes) + int64(l.HeadBytes)
	if r.Header.Get("Expect") != "" && r.ContentLength != 0 {
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, int64(l.BodyBytes)))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, nil, tooLarge()
	}
	return r, body, err
}

// await waits for the first byte of a request, for as long as a connection may be idle or answers are due.
func (c *conn) await(l pomelo.TrafficLimits) error {
	for {
		_ = c.SetReadDeadline(time.Now().Add(l.IdleTimeout.Duration()))
		_, err := c.reader.Peek(1)
		if err != nil && c.limit.late && c.busy() {
			continue
		}
		return err
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

// begin hands a request over; while the node drains, it is the connection's last.
func (c *conn) begin(r *http.Request, body []byte) {
	s := &slot{reply: make(chan pomelo.Reply, 1), head: r.Method == http.MethodHead}
	c.mu.Lock()
	if c.last {
		// The answer before this request says that the connection closes: the caller sends it anew.
		c.mu.Unlock()
		return
	}
	c.open++
	c.last = r.Close || c.server.draining.Load()
	s.close = c.last
	c.mu.Unlock()
	c.server.pending.Add(1)
	c.slots <- s
	go func() {
		stack.Grow()
		ctx, cancel := context.WithCancel(c.ctx)
		defer cancel()
		defer context.AfterFunc(c.server.run, cancel)()
		s.reply <- c.server.handler(ctx, r, body)
	}()
}

// broken answers what can't be read, if anything of a request has come; a caller's close cancels all that runs.
func (c *conn) broken(err error) {
	var f *pomelo.Fault
	switch {
	case errors.As(err, &f):
		c.refuse(http.StatusRequestEntityTooLarge)
	case errors.Is(err, errHead):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case c.limit.late:
		c.expired()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetwork(err):
		c.cancel()
	default:
		c.refuse(http.StatusBadRequest)
	}
}

// expired closes an idle connection without a word, and answers half a request.
func (c *conn) expired() {
	if !c.begun {
		return
	}
	c.refuse(http.StatusRequestTimeout)
}

func (c *conn) refuse(status int) {
	s := &slot{reply: make(chan pomelo.Reply, 1), close: true}
	c.mu.Lock()
	c.open++
	c.last = true
	c.mu.Unlock()
	c.server.pending.Add(1)
	s.reply <- pomelo.Reply{Status: status, Header: http.Header{}}
	c.slots <- s
}

func isNetwork(err error) bool {
	var n *net.OpError
	return errors.As(err, &n)
}

// drainInput waits for the caller's close; requests sent behind the last one count as not read.
func (c *conn) drainInput() {
	_ = c.SetReadDeadline(time.Time{})
	var b [512]byte
	for {
		if _, err := c.Conn.Read(b[:]); err != nil {
			c.cancel()
			return
		}
	}
}

// write sends the answers in the order of their requests.
func (c *conn) write() {
	defer c.finish()
	for s := range c.slots {
		r, ok := c.next(s)
		c.server.pending.Add(-1)
		if !ok {
			return
		}
		last := s.close || r.Close || c.server.draining.Load() && c.markLast()
		if err := c.send(r, s.head, last); err != nil {
			c.server.log.Info("answer_not_delivered", "status", r.Status, "error", err.Error())
			return
		}
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		if last {
			return
		}
	}
}

// next waits for the answer; false once the caller has gone.
func (c *conn) next(s *slot) (pomelo.Reply, bool) {
	select {
	case r := <-s.reply:
		return r, true
	case <-c.ctx.Done():
		return pomelo.Reply{}, false
	}
}

// markLast makes the answer to the only open request the connection's last one.
func (c *conn) markLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 1 {
		return false
	}
	c.last = true
	return true
}

// finish closes the connection; what was read and not answered is cancelled.
func (c *conn) finish() {
	c.cancel()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	c.linger()
	_ = c.Close()
	c.server.forget(c)
	for range c.slots {
		c.server.pending.Add(-1)
	}
}

// lingerFor lets the caller read the last answer before unread input resets the connection, in milliseconds.
const lingerFor = pomelo.Millis(300)

func (c *conn) linger() {
	_ = c.SetReadDeadline(time.Now().Add(lingerFor.Duration()))
	if c.ended() {
		_ = c.server.clock.Sleep(context.Background(), lingerFor)
	}
}

// closeIdle ends a connection on which no answer is due.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		c.last = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) send(r pomelo.Reply, head, last bool) error {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(err, "write the head")
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !head {
		b.Write(r.Body)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	_, err := c.Write(b.Bytes())
	return err
}

func tooLarge() error {
	return pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body")
}
