package ledger

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

const (
	tokenBytes = 16
	// A deeper call tree is treated as a loop between services.
	maxDepth = 64
)

// Ledger stores a record of each call that runs at this node's upstream, by token.
type Ledger struct {
	clock   pomelo.Clock
	mu      sync.Mutex
	records map[string]*record
}

// New returns an empty ledger.
func New(clock pomelo.Clock) *Ledger {
	return &Ledger{clock: clock, records: map[string]*record{}}
}

// Open records a call and returns its token; Close cancels the returned context, which cancels all sub-calls.
func (l *Ledger) Open(ctx context.Context, c pomelo.Call) (context.Context, string) {
	ctx, cancel := context.WithCancel(ctx)
	r := newRecord(ctx, cancel, c, l.clock.Now())
	token := newToken()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[token] = r
	return ctx, token
}

// OnWait sets the function that is called when the call begins and when it stops waiting for sub-calls; f must not call the Ledger.
func (l *Ledger) OnWait(token string, f func(waiting bool)) {
	l.mu.Lock()
	r := l.records[token]
	l.mu.Unlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onWait = f
}

// Close removes the record, cancels its running sub-calls, and returns the call's totals.
func (l *Ledger) Close(token string) pomelo.CallSummary {
	l.mu.Lock()
	r := l.records[token]
	delete(l.records, token)
	l.mu.Unlock()
	if r == nil {
		return pomelo.CallSummary{}
	}
	return r.close(l.clock.Now())
}

// BeginSubCall prepares a sub-call: the child inherits the account, key, route, importance and deadline of the token's call, and a share of its remaining retries.
func (l *Ledger) BeginSubCall(token string, child pomelo.Call) (context.Context, pomelo.Call, error) {
	l.mu.Lock()
	r := l.records[token]
	l.mu.Unlock()
	if r == nil {
		return nil, child, pomelo.NewFault(pomelo.KindBadCallToken, "the call token names no running call", "send the "+pomelo.HeaderToken+" header that came with the running request")
	}
	return r.begin(child, l.clock.Now())
}

// FinishSubCall returns a sub-call's unspent retries to the record and adds its subtree calls; a lost answer returns no retries.
func (l *Ledger) FinishSubCall(token string, a pomelo.Answer) {
	l.mu.Lock()
	r := l.records[token]
	l.mu.Unlock()
	if r != nil {
		r.finish(a, l.clock.Now())
	}
}

// Running returns the number of recorded calls.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

func newToken() string {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}
