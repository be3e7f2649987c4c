package inlet

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/hold"
)

// pendingReply holds the place of one reply in the connection's order.
type pendingReply struct {
	reply chan pomelo.Reply
	// noBody is set for a HEAD request, whose reply is sent without its body.
	noBody bool
	close  bool
	memory *hold.Hold
}

// writeReplies sends the replies in the order of their requests, and shuts the connection down after the last one or a failed write.
func (c *conn) writeReplies() {
	defer c.shutDown()
	for s := range c.pipeline {
		last, ok := c.reply(s)
		c.releaseReply(s)
		// A stopping node waits for the end of the write, which a caller that reads slowly delays.
		c.server.pending.Add(-1)
		if !ok || last {
			return
		}
	}
}

// reply awaits one reply and writes it; it returns whether the reply is the connection's last, and false if it was not delivered.
func (c *conn) reply(s *pendingReply) (last, ok bool) {
	r, ok := c.awaitReply(s)
	if !ok {
		return false, false
	}
	last = s.close || r.Close || c.server.draining.Load() && c.tryMarkClosing()
	if err := c.writeReply(r, s.noBody, last); err != nil {
		c.server.log.Info("answer_not_delivered", "status", r.Status, "error", err.Error())
		return last, false
	}
	c.mu.Lock()
	c.inFlight--
	c.idleSince = c.server.clock.Now()
	c.mu.Unlock()
	return last, true
}

// releaseReply gives back the memory of a request whose reply was written or given up.
func (c *conn) releaseReply(s *pendingReply) {
	s.memory.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, s.memory)
}

// awaitReply waits for the reply; it returns false once the caller has closed the connection.
func (c *conn) awaitReply(s *pendingReply) (pomelo.Reply, bool) {
	select {
	case r := <-s.reply:
		return r, true
	case <-c.ctx.Done():
		return pomelo.Reply{}, false
	}
}

// tryMarkClosing marks the connection as closing unless other requests than the current one are in flight.
func (c *conn) tryMarkClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 1 {
		return false
	}
	c.closing = true
	c.hasLastReply = true
	return true
}

// writeReply writes the reply; a caller that reads it slowly has time as long as it makes progress.
func (c *conn) writeReply(r pomelo.Reply, noBody, closeAfter bool) error {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(err, "write the head")
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	rest := r.Body
	if noBody {
		rest = nil
	}
	first := min(len(rest), pieceBytes)
	b.Write(rest[:first])
	defer c.writeStall.Store(0)
	if err := c.writePiece(b.Bytes()); err != nil {
		return err
	}
	for rest = rest[first:]; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		if err := c.writePiece(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// writePiece writes a part of a reply within the time for progress.
func (c *conn) writePiece(b []byte) error {
	c.writeStall.Store(int64(c.server.clock.Now()))
	_ = c.SetWriteDeadline(time.Now().Add(c.server.stallTimeout.Duration()))
	_, err := c.Write(b)
	return err
}
