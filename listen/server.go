package listen

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/stack"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/quic-go/quic-go"
)

// Limits of an accepted connection; the dialing side says when one is used no more.
const (
	idleTimeout    = 30 * time.Second
	streamsPerPeer = 1 << 16
)

const (
	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

// Server accepts peers over QUIC.
type Server struct {
	identity *ident.Identity
	codec    *wire.Codec
	handler  pomelo.Handler
	members  pomelo.Membership
	log      pomelo.Logger
	fencer   pomelo.Fencer
	answers  map[pomelo.MessageKind]pomelo.Responder
	socket   net.PacketConn
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	open     map[*quic.Conn]bool
	ended    uint64
}

// New returns a server that accepts the peers that the membership knows.
func New(identity *ident.Identity, codec *wire.Codec, members pomelo.Membership, handler pomelo.Handler, log pomelo.Logger, opts ...func(*Server)) *Server {
	s := &Server{
		identity: identity,
		codec:    codec,
		members:  members,
		handler:  handler,
		log:      log,
		answers:  map[pomelo.MessageKind]pomelo.Responder{},
		open:     map[*quic.Conn]bool{},
	}
	for _, o := range opts {
		o(s)
	}
	s.Respond(pomelo.MessagePing, pong)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// WithFencer sets who settles calls in doubt; without one a fence is answered as unknown.
func WithFencer(f pomelo.Fencer) func(*Server) {
	return func(s *Server) { s.fencer = f }
}

func pong(context.Context, pomelo.Member, func(any) error) (any, error) {
	return true, nil
}

// Respond sets who answers the questions of a kind; it must be called before Start.
func (s *Server) Respond(kind pomelo.MessageKind, r pomelo.Responder) {
	s.answers[kind] = r
}

// Start listens on a UDP address and serves in the background; a socket that can't be had is KindBadSettings.
func (s *Server) Start(address string) error {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for peers: "+err.Error(), "choose another node.peer_address")
	}
	config := &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: streamsPerPeer}
	listener, err := quic.Listen(socket, s.identity.ServerTLS(s.trusts), config)
	if err != nil {
		_ = socket.Close()
		return errors.Wrap(err, "listen for peers")
	}
	s.socket = socket
	s.listener = listener
	go s.accept()
	return nil
}

// Address is the UDP address that is listened on.
func (s *Server) Address() string {
	return s.socket.LocalAddr().String()
}

// Close ends the listener and all its connections.
func (s *Server) Close() {
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
		_ = s.socket.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn *quic.Conn) {
	defer s.end(conn)
	from, ok := s.members.ByFingerprint(ident.PeerFingerprint(conn.ConnectionState().TLS))
	if !ok {
		return
	}
	for {
		st, err := conn.AcceptStream(s.ctx)
		if err != nil {
			return
		}
		go s.stream(st, from)
	}
}

func (s *Server) end(conn *quic.Conn) {
	_ = conn.CloseWithError(codeClosed, "closing")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended += bytesOf(conn)
	delete(s.open, conn)
}

// Bytes counts what has been sent and received over all connections, without the headers of UDP and IP.
func (s *Server) Bytes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.ended
	for c := range s.open {
		n += bytesOf(c)
	}
	return n
}

// Connections counts the open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func bytesOf(c *quic.Conn) uint64 {
	s := c.ConnectionStats()
	return s.BytesSent + s.BytesReceived
}

func (s *Server) trusts(fingerprint string) bool {
	_, ok := s.members.ByFingerprint(fingerprint)
	return ok
}

func (s *Server) stream(st *quic.Stream, from pomelo.Member) {
	stack.Grow()
	defer func() { _ = st.Close() }()
	m, err := s.codec.Read(st)
	if err != nil {
		s.log.Debug("message_unreadable", "error", err.Error())
		st.CancelWrite(codeCanceled)
		return
	}
	ctx, cancel := streamContext(st)
	defer cancel()
	switch m.Kind {
	case pomelo.MessageCall:
		s.call(ctx, st, m)
	case pomelo.MessageFence:
		s.fence(ctx, st, m)
	default:
		s.question(ctx, st, from, m)
	}
}

func (s *Server) question(ctx context.Context, st *quic.Stream, from pomelo.Member, m pomelo.Message) {
	r, ok := s.answers[m.Kind]
	if !ok {
		s.reply(st, m.ID, nil, pomelo.NewFault(pomelo.KindProtocol, "this node knows no such message", "run the same version on all nodes"))
		return
	}
	decode := func(request any) error { return s.codec.Decode(m, request) }
	out, err := r(ctx, from, decode)
	s.reply(st, m.ID, out, err)
}

func (s *Server) reply(st *quic.Stream, id string, out any, err error) {
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

// call runs until the caller cancels; the loss of its connection is told apart by the context's cause.
func (s *Server) call(ctx context.Context, st *quic.Stream, m pomelo.Message) {
	var c pomelo.Call
	if err := s.codec.Decode(m, &c); err != nil {
		s.answer(st, pomelo.Refuse(m.ID, notRun(err)))
		return
	}
	c.Body = m.Body
	s.answer(st, s.handler.Handle(ctx, c))
}

func (s *Server) fence(ctx context.Context, st *quic.Stream, m pomelo.Message) {
	var q pomelo.FenceRequest
	if err := s.codec.Decode(m, &q); err != nil || s.fencer == nil {
		s.log.Debug("fence_unreadable", "id", m.ID)
		st.CancelWrite(codeCanceled)
		return
	}
	s.answer(st, s.fencer.Resolve(ctx, q))
}

// answer sends a refusal in place of an answer that can't be carried.
func (s *Server) answer(st *quic.Stream, a pomelo.Answer) {
	err := s.codec.Write(st, pomelo.MessageAnswer, a.CallID, a, a.Body)
	if pomelo.IsKind(err, pomelo.KindTooLarge) {
		a = overLimit(a, err)
		err = s.codec.Write(st, pomelo.MessageAnswer, a.CallID, a, nil)
	}
	if err != nil {
		s.log.Debug("answer_not_sent", "call", a.CallID, "error", err.Error())
		st.CancelWrite(codeCanceled)
	}
}

func overLimit(a pomelo.Answer, err error) pomelo.Answer {
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

func notRun(err error) *pomelo.Fault {
	f := *pomelo.FaultOf(err)
	f.Ran = pomelo.RanNo
	return &f
}
