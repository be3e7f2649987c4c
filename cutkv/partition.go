package cutkv

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Partition holds which VMs are disconnected from the store.
type Partition struct {
	mu           sync.Mutex
	disconnected map[string]bool
}

// New returns a partition that disconnects no VM.
func New() *Partition {
	return &Partition{disconnected: map[string]bool{}}
}

// Set disconnects the VM from the store or connects it again.
func (p *Partition) Set(vm string, disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected[vm] = disconnected
}

// Wrap returns the store as the VM reaches it; while the VM is disconnected, calls fail with KindStoreUnavailable, as do watches that began earlier.
func (p *Partition) Wrap(vm string, store pomelo.Store) pomelo.Store {
	return &link{Store: store, vm: vm, partition: p}
}

func (p *Partition) check(vm string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.disconnected[vm] {
		return nil
	}
	return pomelo.NewFault(pomelo.KindStoreUnavailable, "this VM is cut off from the store", "connect it again")
}
