package hold

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo/budget"
)

// Hold is the memory, in bytes, that is held for one request; nil counts nothing. It is safe for concurrent use.
type Hold struct {
	budget *budget.Budget
	mu     sync.Mutex
	bytes  int64
	// reserved is the part of bytes that was taken for an answer before it came.
	reserved int64
	released bool
}

// New returns a hold of no bytes of the budget.
func New(b *budget.Budget) *Hold {
	return &Hold{budget: b}
}

// Bytes returns the number of bytes that are held.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// Take adds n bytes; it returns budget.ErrExhausted if they are not there or the hold was released.
func (h *Hold) Take(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	if err := h.budget.Take(n, h.Bytes()); err != nil {
		return err
	}
	return h.keep(n)
}

// Reserve takes n bytes for an answer that is expected; it returns budget.ErrExhausted if they are not there.
func (h *Hold) Reserve(n int64) error {
	if err := h.Take(n); h == nil || err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved += n
	return nil
}

// useReserved returns the part of n bytes of an answer that was not reserved for it.
func (h *Hold) useReserved(n int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	used := min(n, h.reserved)
	h.reserved -= used
	return n - used
}

// Await adds n bytes of an answer once they are there, less those reserved for it; the error is that of ctx, or budget.ErrExhausted if the hold was released.
func (h *Hold) Await(ctx context.Context, n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	n = h.useReserved(n)
	if n == 0 {
		return nil
	}
	if err := h.budget.Await(ctx, n, h.Bytes()); err != nil {
		return err
	}
	return h.keep(n)
}

// keep records n bytes that were taken from the budget.
func (h *Hold) keep(n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		h.budget.Add(-n)
		return budget.ErrExhausted
	}
	h.bytes += n
	return nil
}

// Set changes the number of bytes held to n, even if the budget is used up; it does nothing after Release.
func (h *Hold) Set(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.budget.Add(n - h.bytes)
	h.bytes = n
	h.reserved = 0
}

// Add changes the number of bytes held by n, even if the budget is used up; it does nothing after Release.
func (h *Hold) Add(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.budget.Add(n)
	h.bytes += n
}

// Release gives back all bytes, and holds none from then on.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Add(-h.bytes)
	h.bytes = 0
	h.released = true
}

type contextKey struct{}

// NewContext returns a context that carries the hold of the request that it belongs to.
func NewContext(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the hold of the context's request, or nil.
func FromContext(ctx context.Context) *Hold {
	h, _ := ctx.Value(contextKey{}).(*Hold)
	return h
}
