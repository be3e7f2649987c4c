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
	// A call tree deeper than this is taken for a loop.
	maxDepth = 64
)

// Ledger holds the records of the calls that run at this node's upstream.
type Ledger struct {
	clock   pomelo.Clock
	mu      sync.Mutex
	records map[string]*record
}

// New returns an empty ledger.
func New(clock pomelo.Clock) *Ledger {
	return &Ledger{clock: clock, records: map[string]*record{}}
}

// Open records a call and returns its token; the context ends with Close, and every sub-call with it.
func (l *Ledger) Open(ctx context.Context, c pomelo.Call) (context.Context, string) {
	ctx, cancel := context.WithCancel(ctx)
	r := newRecord(ctx, cancel, c, l.clock.Now())
	token := newToken()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[token] = r
	return ctx, token
}

// OnWait has f called when the record's call begins to wait for sub-calls, and when it no longer does; f must not call the ledger.
func (l *Ledger) OnWait(token string, f func(waiting bool)) {
	l.mu.Lock()
	r := l.records[token]
	l.mu.Unlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits = f
}

// Close ends the record, cancels what is left of its sub-calls, and returns its closing figures.
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

// Begin makes a sub-call out of the record: the child inherits who and what it is for, the deadline and the retries left.
func (l *Ledger) Begin(token string, child pomelo.Call) (context.Context, pomelo.Call, error) {
	l.mu.Lock()
	r := l.records[token]
	l.mu.Unlock()
	if r == nil {
		return nil, child, pomelo.NewFault(pomelo.KindBadCallToken, "the call token names no running call", "send the "+pomelo.HeaderToken+" header that came with the running request")
	}
	return r.begin(child, l.clock.Now())
}

// Finish brings a sub-call's unspent retries and visits back to the record; a lost answer brings nothing back.
func (l *Ledger) Finish(token string, a pomelo.Answer) {
	l.mu.Lock()
	r := l.records[token]
	l.mu.Unlock()
	if r != nil {
		r.finish(a, l.clock.Now())
	}
}

// Running counts the open records.
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
