package cutkv

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Switch says which VMs are cut off from the store.
type Switch struct {
	mu   sync.Mutex
	gone map[string]bool
}

// New returns a switch that cuts nobody off.
func New() *Switch {
	return &Switch{gone: map[string]bool{}}
}

// Set cuts the VM off, or connects it again.
func (s *Switch) Set(vm string, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[vm] = gone
}

// Wrap is the store as the VM sees it; what a cut VM asks for is KindUnavailable, also the answer to a watch that began before.
func (s *Switch) Wrap(vm string, store pomelo.Store) pomelo.Store {
	return &link{Store: store, vm: vm, to: s}
}

func (s *Switch) check(vm string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gone[vm] {
		return nil
	}
	return pomelo.NewFault(pomelo.KindStoreUnavailable, "this VM is cut off from the store", "connect it again")
}
