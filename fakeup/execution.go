package fakeup

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

const (
	wrongPrefix             = "wrong-"
	refuseRetryAfterSeconds = "1"
)

// execution is the state of one request in the server.
type execution struct {
	event  pomelo.FakeEvent
	route  pomelo.FakeRoute
	fault  pomelo.FakeFault
	token  string
	answer pomelo.FakeAnswer
}

// reply is the response to send; a status of 0 means that the client has disconnected.
type reply struct {
	status int
	ran    string
	body   any
}

func (s *Server) serveCall(c *gin.Context) {
	s.abortIfDown()
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	x := s.newExecution(c.Request, body)
	if x.event.CallerKeySeen {
		s.count(func(n *pomelo.FakeCounters) { n.CallerKeysSeen++ })
	}
	if x.fault.Refuse {
		s.refuse(c)
		return
	}
	ctx := c.Request.Context()
	_ = s.clock.Sleep(ctx, s.spec.NetworkDelay)
	r := s.execute(ctx, &x)
	_ = s.clock.Sleep(ctx, s.spec.NetworkDelay+x.fault.ResponseDelay)
	x.send(c, r)
}

func (s *Server) newExecution(q *http.Request, body []byte) execution {
	sum := sha256.Sum256(body)
	h := q.Header
	return execution{
		event: pomelo.FakeEvent{
			RootID:         h.Get(pomelo.HeaderRootID),
			CallID:         h.Get(pomelo.FakeHeaderCallID),
			IdempotencyKey: h.Get(pomelo.HeaderIdempotency),
			Path:           q.URL.Path,
			CallerKeySeen:  h.Get(pomelo.HeaderKey) != "" || h.Get("Authorization") != "",
		},
		route: s.routeFor(q.URL.Path),
		fault: s.currentFault(),
		token: h.Get(pomelo.HeaderToken),
		answer: pomelo.FakeAnswer{
			Service:    s.spec.Service,
			VM:         s.spec.VM,
			RootID:     h.Get(pomelo.HeaderRootID),
			Nonce:      h.Get(pomelo.FakeHeaderNonce),
			BodySHA256: hex.EncodeToString(sum[:]),
		},
	}
}

func (s *Server) refuse(c *gin.Context) {
	s.count(func(n *pomelo.FakeCounters) { n.Refused++ })
	c.Header("Retry-After", refuseRetryAfterSeconds)
	c.JSON(http.StatusServiceUnavailable, pomelo.NewFault(pomelo.KindOverload, "the upstream sheds load", "try again later"))
}

func (s *Server) execute(ctx context.Context, x *execution) reply {
	if s.acquireSlot(ctx) != nil {
		return reply{}
	}
	defer s.slots.Release(1)
	s.record(x.event, pomelo.FakeEventStart)
	r := s.process(ctx, x)
	if ctx.Err() != nil {
		s.record(x.event, pomelo.FakeEventCancelled)
		return reply{}
	}
	s.record(x.event, pomelo.FakeEventEnd)
	return r
}

// acquireSlot acquires a slot; the semaphore serves its waiters first in, first out.
func (s *Server) acquireSlot(ctx context.Context) error {
	s.count(func(n *pomelo.FakeCounters) { n.Waiting++ })
	err := s.slots.Acquire(ctx, 1)
	s.count(func(n *pomelo.FakeCounters) {
		n.Waiting--
		if err != nil {
			n.CancelledWaiting++
		}
	})
	return err
}

func (s *Server) process(ctx context.Context, x *execution) reply {
	if x.fault.NeverRespond {
		<-ctx.Done()
		return reply{}
	}
	if s.clock.Sleep(ctx, s.serviceTime(x.route.ServiceTime, x.fault)) != nil {
		return reply{}
	}
	for _, c := range x.route.SubCalls {
		for range max(c.Count, 1) {
			a, failure := s.subCall(ctx, x, c)
			if failure != nil {
				return reply{status: http.StatusBadGateway, ran: string(failure.Ran), body: failure}
			}
			x.answer.Answers = append(x.answer.Answers, a)
		}
	}
	return reply{status: http.StatusOK, body: x.answer}
}

func (x *execution) send(c *gin.Context, r reply) {
	if r.status == 0 || c.Request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if x.fault.RawResponse != "" {
		x.sendRaw(c)
		return
	}
	if x.fault.WrongID {
		r = x.corruptIDs(r)
	}
	body, err := json.Marshal(r.body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := c.Writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	setIfPresent(h, pomelo.HeaderRan, r.ran)
	setIfPresent(h, pomelo.FakeHeaderCallID, x.event.CallID)
	c.Status(r.status)
	if x.fault.TruncateResponse {
		_, _ = c.Writer.Write(body[:len(body)/2])
		c.Writer.Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = c.Writer.Write(body)
}

// sendRaw sends the fault's bytes, which need not be HTTP, and closes the connection.
func (x *execution) sendRaw(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, x.fault.RawResponse)
}

func (x *execution) corruptIDs(r reply) reply {
	x.event.CallID = wrongPrefix + x.event.CallID
	if a, ok := r.body.(pomelo.FakeAnswer); ok {
		a.RootID = wrongPrefix + a.RootID
		a.Nonce = wrongPrefix + a.Nonce
		r.body = a
	}
	return r
}

func setIfPresent(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
