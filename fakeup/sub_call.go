package fakeup

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pomeloworks/pomelo"
)

func (s *Server) subCall(ctx context.Context, x *execution, c pomelo.FakeSubCall) (pomelo.FakeAnswer, *pomelo.FakeSubCallFailure) {
	s.count(func(n *pomelo.FakeCounters) { n.SubCalls++ })
	a, failure := s.callNode(ctx, x, c)
	if failure != nil {
		failure.Service = c.Service
		s.count(func(n *pomelo.FakeCounters) { n.SubCallsFailed++ })
	}
	return a, failure
}

func (s *Server) callNode(ctx context.Context, x *execution, c pomelo.FakeSubCall) (pomelo.FakeAnswer, *pomelo.FakeSubCallFailure) {
	q, err := http.NewRequestWithContext(ctx, c.Method, s.spec.NodeURL+pomelo.PathCall+c.Service+c.Path, nil)
	if err != nil {
		return pomelo.FakeAnswer{}, &pomelo.FakeSubCallFailure{Ran: pomelo.RanNo, Message: err.Error()}
	}
	// A body that cannot be rewound keeps the HTTP client from resending the call.
	q.Body = io.NopCloser(strings.NewReader(""))
	setIfPresent(q.Header, pomelo.HeaderToken, x.token)
	setIfPresent(q.Header, pomelo.HeaderRootID, x.answer.RootID)
	setIfPresent(q.Header, pomelo.FakeHeaderNonce, x.answer.Nonce)
	a, err := s.client.Do(q)
	if err != nil {
		return pomelo.FakeAnswer{}, &pomelo.FakeSubCallFailure{Ran: pomelo.RanUnknown, Message: err.Error()}
	}
	defer func() { _ = a.Body.Close() }()
	return readAnswer(a)
}

func readAnswer(a *http.Response) (pomelo.FakeAnswer, *pomelo.FakeSubCallFailure) {
	failure := &pomelo.FakeSubCallFailure{Status: a.StatusCode, Ran: pomelo.Ran(a.Header.Get(pomelo.HeaderRan))}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		failure.Message = err.Error()
		return pomelo.FakeAnswer{}, failure
	}
	if !isSuccess(a.StatusCode) {
		failure.Message = "the sub-call was not answered whole"
		return pomelo.FakeAnswer{}, failure
	}
	var answer pomelo.FakeAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		failure.Message = err.Error()
		return pomelo.FakeAnswer{}, failure
	}
	return answer, nil
}
