package listen

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/hold"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/stack"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/quic-go/quic-go"
)

// Limits of an accepted connection; the dialing side decides when an unused connection is closed.
const (
	idleTimeout       = 30 * time.Second
	maxStreamsPerPeer = 1 << 16
	// requestTimeout is the time for a peer to send one message, in milliseconds.
	requestTimeout = pomelo.Millis(10_000)
	// memoryRetryAfter is the time in which memory becomes free, in milliseconds.
	memoryRetryAfter = pomelo.Millis(1_000)
	// callBytes is the memory of a call that is handled, in bytes, without its message.
	callBytes = 24 << 10
	// replyBytes is the memory of an answer, in bytes, without its body.
	replyBytes = 4 << 10
)

const (
	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

// Server accepts peers over QUIC.
type Server struct {
	identity    *ident.Identity
	codec       *wire.Codec
	handler     pomelo.Handler
	members     pomelo.Membership
	log         pomelo.Logger
	fencer      pomelo.Fencer
	budget      *budget.Budget
	responders  map[pomelo.MessageKind]pomelo.Responder
	socket      net.PacketConn
	listener    *quic.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex
	conns       map[*quic.Conn]bool
	closedBytes uint64
	// calls ends with Abort, and cancels the contexts of the running calls.
	calls      context.Context
	abortCalls context.CancelCauseFunc
	pending    atomic.Int64
}

// New returns a server that accepts only peers whose certificate belongs to a member.
func New(identity *ident.Identity, codec *wire.Codec, members pomelo.Membership, handler pomelo.Handler, log pomelo.Logger, opts ...func(*Server)) *Server {
	s := &Server{
		identity:   identity,
		codec:      codec,
		members:    members,
		handler:    handler,
		log:        log,
		responders: map[pomelo.MessageKind]pomelo.Responder{},
		conns:      map[*quic.Conn]bool{},
	}
	for _, o := range opts {
		o(s)
	}
	s.RegisterResponder(pomelo.MessagePing, pong)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.calls, s.abortCalls = context.WithCancelCause(context.Background())
	return s
}

// WithFencer sets the fencer that resolves calls in doubt; without one the stream of a fence request is reset.
func WithFencer(f pomelo.Fencer) func(*Server) {
	return func(s *Server) { s.fencer = f }
}

// WithBudget counts the memory of calls and their answers; calls for which there is none are refused as not run.
func WithBudget(b *budget.Budget) func(*Server) {
	return func(s *Server) { s.budget = b }
}

func pong(context.Context, pomelo.Member, func(any) error) (any, error) {
	return true, nil
}

// RegisterResponder sets the responder for requests of a kind; it must be called before Start.
func (s *Server) RegisterResponder(kind pomelo.MessageKind, r pomelo.Responder) {
	s.responders[kind] = r
}

// Start listens on a UDP address and serves in the background; an address that can't be used is KindBadSettings.
func (s *Server) Start(address string) error {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for peers: "+err.Error(), "choose another node.peer_address")
	}
	config := &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxStreamsPerPeer}
	listener, err := quic.Listen(socket, s.identity.ServerTLS(s.isMember), config)
	if err != nil {
		_ = socket.Close()
		return errors.Wrap(err, "listen for peers")
	}
	s.socket = socket
	s.listener = listener
	go s.acceptConns()
	return nil
}

// Address returns the UDP address of the listener.
func (s *Server) Address() string {
	return s.socket.LocalAddr().String()
}

// Pending returns the number of calls whose answers have not been written.
func (s *Server) Pending() int {
	return int(s.pending.Load())
}

// Abort cancels the running calls; their answers are still written.
func (s *Server) Abort() {
	s.abortCalls(pomelo.NewFault(pomelo.KindCanceled, "the serving node stops", "ask whether it ran before repeating it"))
}

// Close closes the listener and all its connections.
func (s *Server) Close() {
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
		_ = s.socket.Close()
	}
}

func (s *Server) acceptConns() {
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn *quic.Conn) {
	defer s.closeConn(conn)
	from, ok := s.members.ByFingerprint(ident.PeerFingerprint(conn.ConnectionState().TLS))
	if !ok {
		return
	}
	for {
		st, err := conn.AcceptStream(s.ctx)
		if err != nil {
			return
		}
		go s.handleStreamGuarded(st, from)
	}
}

func (s *Server) closeConn(conn *quic.Conn) {
	_ = conn.CloseWithError(codeClosed, "closing")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedBytes += connBytes(conn)
	delete(s.conns, conn)
}

// Bytes returns the number of bytes sent and received over all connections, closed ones included, without UDP and IP headers.
func (s *Server) Bytes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.closedBytes
	for c := range s.conns {
		n += connBytes(c)
	}
	return n
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func connBytes(c *quic.Conn) uint64 {
	s := c.ConnectionStats()
	return s.BytesSent + s.BytesReceived
}

func (s *Server) isMember(fingerprint string) bool {
	_, ok := s.members.ByFingerprint(fingerprint)
	return ok
}

// handleStreamGuarded resets the stream of a message whose handling panics, so that its sender does not wait for an answer.
func (s *Server) handleStreamGuarded(st *quic.Stream, from pomelo.Member) {
	if !guard.New(s.log).Run("peer_message", "", func() { s.handleStream(st, from) }) {
		st.CancelRead(codeCanceled)
		st.CancelWrite(codeCanceled)
	}
}

func (s *Server) handleStream(st *quic.Stream, from pomelo.Member) {
	stack.Grow()
	defer func() { _ = st.Close() }()
	memory := s.newHold()
	defer memory.Release()
	_ = st.SetReadDeadline(time.Now().Add(requestTimeout.Duration()))
	m, err := s.codec.ReadCounted(st, func(kind pomelo.MessageKind, n int64) error {
		if kind != pomelo.MessageCall {
			memory.Add(n)
			return nil
		}
		return memory.Take(callBytes + n)
	})
	_ = st.SetReadDeadline(time.Time{})
	if errors.Is(err, budget.ErrExhausted) {
		s.refuseCall(st, m)
		return
	}
	if err != nil {
		s.log.Debug("message_unreadable", "error", err.Error())
		st.CancelWrite(codeCanceled)
		return
	}
	ctx, cancel := streamContext(hold.NewContext(s.calls, memory), st)
	defer cancel()
	switch m.Kind {
	case pomelo.MessageCall:
		s.handleCall(ctx, st, m)
	case pomelo.MessageFence:
		s.handleFence(ctx, st, m)
	default:
		s.handleRequest(ctx, st, from, m)
	}
}

// newHold returns the memory of one message, or nil if it is not counted.
func (s *Server) newHold() *hold.Hold {
	if s.budget == nil {
		return nil
	}
	return hold.New(s.budget)
}

// refuseCall refuses a call of which only the head was read, since there is no memory for the rest.
func (s *Server) refuseCall(st *quic.Stream, m pomelo.Message) {
	st.CancelRead(codeCanceled)
	var c pomelo.Call
	if err := s.codec.Decode(m, &c); err != nil {
		st.CancelWrite(codeCanceled)
		return
	}
	s.log.Debug("call_not_read", "request", c.ID, "root", c.RootID)
	f := pomelo.NewFault(pomelo.KindOverload, "the serving node has no memory for the call", "come back after the given time")
	f.RetryAfter = memoryRetryAfter
	s.writeAnswer(st, pomelo.Refuse(c.ID, f))
}

func (s *Server) handleRequest(ctx context.Context, st *quic.Stream, from pomelo.Member, m pomelo.Message) {
	r, ok := s.responders[m.Kind]
	if !ok {
		s.writeReply(st, m.ID, nil, pomelo.NewFault(pomelo.KindProtocol, "this node knows no such message", "run the same version on all nodes"))
		return
	}
	decode := func(request any) error { return s.codec.Decode(m, request) }
	out, err := r(ctx, from, decode)
	s.writeReply(st, m.ID, out, err)
}

func (s *Server) writeReply(st *quic.Stream, id string, out any, err error) {
	kind := pomelo.MessageReply
	if err != nil {
		kind = pomelo.MessageFault
		out = pomelo.FaultOf(err)
	}
	if err := s.codec.Write(st, kind, id, out, nil); err != nil {
		s.log.Debug("reply_not_sent", "error", err.Error())
		st.CancelWrite(codeCanceled)
	}
}

// handleCall decodes a call, handles it and writes its answer; the context's cause tells a cancelled call from a lost connection.
func (s *Server) handleCall(ctx context.Context, st *quic.Stream, m pomelo.Message) {
	s.pending.Add(1)
	defer s.pending.Add(-1)
	var c pomelo.Call
	if err := s.codec.Decode(m, &c); err != nil {
		s.writeAnswer(st, pomelo.Refuse(m.ID, notRunFault(err)))
		return
	}
	c.Body = m.Body
	a := s.withAbort(s.handler.Handle(ctx, c))
	hold.FromContext(ctx).Set(replyBytes + int64(cap(a.Body)))
	s.writeAnswer(st, a)
}

// withAbort reports a call that Abort canceled as lost with its node, since its caller has not given it up.
func (s *Server) withAbort(a pomelo.Answer) pomelo.Answer {
	if s.calls.Err() == nil || a.Refusal == nil || a.Refusal.Kind != pomelo.KindCanceled {
		return a
	}
	f := *a.Refusal
	f.Kind = pomelo.KindPeerLost
	f.Message = "the serving node stops: " + f.Message
	a.Refusal = &f
	return a
}

func (s *Server) handleFence(ctx context.Context, st *quic.Stream, m pomelo.Message) {
	s.pending.Add(1)
	defer s.pending.Add(-1)
	var q pomelo.FenceRequest
	if err := s.codec.Decode(m, &q); err != nil || s.fencer == nil {
		s.log.Debug("fence_unreadable", "id", m.ID)
		st.CancelWrite(codeCanceled)
		return
	}
	s.writeAnswer(st, s.fencer.Resolve(ctx, q))
}

// writeAnswer writes the answer, or a refusal in its place if the answer's head or body exceeds the codec's limit.
func (s *Server) writeAnswer(st *quic.Stream, a pomelo.Answer) {
	err := s.codec.Write(st, pomelo.MessageAnswer, a.CallID, a, a.Body)
	if pomelo.IsKind(err, pomelo.KindTooLarge) {
		a = answerTooLarge(a, err)
		err = s.codec.Write(st, pomelo.MessageAnswer, a.CallID, a, nil)
	}
	if err != nil {
		s.log.Debug("answer_not_sent", "call", a.CallID, "error", err.Error())
		st.CancelWrite(codeCanceled)
	}
}

func answerTooLarge(a pomelo.Answer, err error) pomelo.Answer {
	f := pomelo.NewFault(pomelo.KindUpstreamFailed, "the upstream's answer can't be carried: "+err.Error(), "answer with fewer or shorter headers")
	f.Ran = pomelo.RanYes
	if a.Refusal != nil {
		f.Ran = a.Refusal.Ran
	}
	a.Refusal = f
	a.Header = nil
	a.Body = nil
	a.SubtreeCalls = nil
	return a
}

// notRunFault returns a copy of the error's fault that is marked as not run.
func notRunFault(err error) *pomelo.Fault {
	f := *pomelo.FaultOf(err)
	f.Ran = pomelo.RanNo
	return &f
}
