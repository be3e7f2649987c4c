package hookkv

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Store forwards every call to another store.
type Store struct {
	pomelo.Store
	mu        sync.Mutex
	gets      int
	puts      int
	beforeGet map[int]func()
	beforePut map[int]func()
}

// New returns a store over s that runs a hook right before the n-th Get and the n-th Put, counted from 1.
func New(s pomelo.Store, beforeGet, beforePut map[int]func()) *Store {
	return &Store{Store: s, beforeGet: beforeGet, beforePut: beforePut}
}

// Get runs the hook, if any, and forwards the call.
func (s *Store) Get(ctx context.Context, key string) (pomelo.Record, error) {
	s.runHook(&s.gets, s.beforeGet)
	return s.Store.Get(ctx, key)
}

// Put runs the hook, if any, and forwards the call.
func (s *Store) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	s.runHook(&s.puts, s.beforePut)
	return s.Store.Put(ctx, w)
}

func (s *Store) runHook(n *int, hooks map[int]func()) {
	s.mu.Lock()
	*n++
	h := hooks[*n]
	s.mu.Unlock()
	if h != nil {
		h()
	}
}
