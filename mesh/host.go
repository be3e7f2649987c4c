package mesh

import (
	"net/http"

	"github.com/pomeloworks/pomelo"
)

// Host is what the platform provides for a node.
type Host struct {
	Store     pomelo.Store
	Dialect   pomelo.Dialect
	PolicyKey string
	// ParsePolicy decodes the record under PolicyKey.
	ParsePolicy func([]byte) (pomelo.PolicySpec, error)
	// Control serves what the upstream beside the node says of itself.
	Control func(a Upstreams, log pomelo.Logger) http.Handler
	// Ready serves the question whether the node takes work.
	Ready func(ready func() bool) http.Handler
}

// Upstreams takes the upstream's heartbeats and its withdrawal.
type Upstreams interface {
	Announce(i pomelo.Instance)
	Withdraw(id string, born pomelo.Millis)
}
