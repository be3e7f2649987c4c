package mesh

import (
	"context"
	"net/http"

	"github.com/pomeloworks/pomelo"
)

// Host contains what the platform provides for a node.
type Host struct {
	Store     pomelo.Store
	Dialect   pomelo.Dialect
	PolicyKey string
	// EvacuationPrefix is the prefix of the records that order the evacuation of an availability zone, whose name follows it.
	EvacuationPrefix string
	// ParsePolicy decodes the record under PolicyKey.
	ParsePolicy func([]byte) (pomelo.PolicySpec, error)
	// Control returns the handler of the heartbeats and the withdrawal of the node's own upstream, which is of this service.
	Control func(a Announcer, service string, log pomelo.Logger) http.Handler
	// Ready returns the handler of readiness probes.
	Ready func(ready func() bool) http.Handler
}

// Announcer receives the heartbeats of the node's own upstream and its withdrawal; an error means that they must not be acknowledged.
type Announcer interface {
	Announce(ctx context.Context, i pomelo.Instance) error
	Withdraw(ctx context.Context, id string, startedAt pomelo.Millis) error
}
