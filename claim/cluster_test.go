package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/claim"
	"github.com/pomeloworks/pomelo/clock"
)

// start is the tests' manual clock at the beginning, in milliseconds; the timestamps of test keys are relative to it.
const start = pomelo.Millis(1_800_000_000_000)

// cluster is a service of three nodes, one of which owns all resources.
type cluster struct {
	mu       sync.Mutex
	clock    *clock.Clock
	owner    string
	previous pomelo.Member
	// process is the number of each VM's current process.
	process       map[string]int
	ownedSince    pomelo.Millis
	previousSince pomelo.Millis
	// VMs that do not answer queries.
	unresponsive map[string]bool
	tables       map[string]*claim.Table
	runs         map[string]int
	answer       func(c pomelo.Call) pomelo.Answer
	draining     map[string]bool
}

func newCluster(opts ...func(*claim.Table)) *cluster {
	cl := &cluster{
		clock:      clock.New(clock.WithManual(start)),
		owner:      "a",
		ownedSince: start - 3_600_000,
		tables:     map[string]*claim.Table{},
		runs:       map[string]int{},
		draining:   map[string]bool{},
		process:    map[string]int{}, unresponsive: map[string]bool{},
	}
	cl.answer = func(c pomelo.Call) pomelo.Answer {
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte("answer of " + string(c.Body))}
	}
	for _, vm := range []string{"a", "b", "c"} {
		v := nodeView{cluster: cl, vm: vm, process: 0}
		cl.tables[vm] = claim.New(cl.clock, v, v, cl, v, v, append(opts, claim.WithPeers(cl))...)
	}
	return cl
}

// changeOwner moves all resources to another owner, as after the loss or the planned stop of the previous one.
func (cl *cluster) changeOwner(owner string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.previous = cl.member(cl.owner)
	cl.owner = owner
	cl.previousSince = cl.ownedSince
	cl.ownedSince = cl.clock.Now()
}

func (cl *cluster) runsOf(body string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.runs[body]
}

// Send passes the call to the member's claim table.
func (cl *cluster) Send(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	return cl.table(m.VM).PeerHandler(nil).Handle(ctx, c)
}

// Request passes a handover message from the previous owner to the current one, or a claim query in the other direction.
func (cl *cluster) Request(ctx context.Context, m pomelo.Member, kind pomelo.MessageKind, request, reply any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return err
	}
	cl.mu.Lock()
	from, owner, unresponsive := cl.previous, cl.member(cl.owner), cl.unresponsive[m.VM]
	cl.mu.Unlock()
	if unresponsive {
		return pomelo.NewFault(pomelo.KindPeerLost, "silent", "")
	}
	respond := cl.table(m.VM).ReceiveHandover
	if kind == pomelo.MessageClaim {
		respond = cl.table(m.VM).AnswerClaimQuery
		from = owner
	}
	out, err := respond(ctx, from, func(v any) error { return json.Unmarshal(b, v) })
	if err != nil {
		return err
	}
	b, err = json.Marshal(out)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, reply)
}

func (cl *cluster) table(vm string) *claim.Table {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.tables[vm]
}

// member returns the VM's current process; the caller must hold the mutex.
func (cl *cluster) member(vm string) pomelo.Member { return member(vm, cl.process[vm]) }

func member(vm string, process int) pomelo.Member {
	return pomelo.Member{VM: vm, Incarnation: fmt.Sprint(vm, process), Service: "shop"}
}

var _ pomelo.OwnershipHistory = nodeView{}

// nodeView is the cluster as one node sees it. It implements pomelo.OwnershipHistory, pomelo.Membership and, as the node's own upstream, pomelo.Handler.
type nodeView struct {
	pomelo.Membership
	cluster *cluster
	vm      string
	process int
}

func (v nodeView) Self() pomelo.Member { return member(v.vm, v.process) }

func (v nodeView) All() []pomelo.Member {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	var out []pomelo.Member
	for _, vm := range []string{"a", "b", "c"} {
		m := member(vm, v.cluster.process[vm])
		m.Draining = v.cluster.draining[vm]
		out = append(out, m)
	}
	return out
}

func (v nodeView) Owner(string) (pomelo.Member, bool) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.member(v.cluster.owner), true
}

func (v nodeView) IsOwner(string) bool {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.owner == v.vm && v.cluster.process[v.vm] == v.process
}

func (v nodeView) OwnedSince(string) pomelo.Millis {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.ownedSince
}

func (v nodeView) Rosters() []pomelo.Roster {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return []pomelo.Roster{{Name: "r", Members: []pomelo.Member{v.cluster.member(v.cluster.owner)}, Previous: []pomelo.Member{v.cluster.previous}}}
}

func (v nodeView) PreviouslyOwnedSince(string) (pomelo.Millis, bool) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.previousSince, v.cluster.previous == v.Self()
}

func (v nodeView) PreviousOwner(string) (pomelo.Member, bool) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.cluster.previous, v.cluster.previous.VM != ""
}

func (v nodeView) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	v.cluster.mu.Lock()
	v.cluster.runs[string(c.Body)]++
	v.cluster.mu.Unlock()
	return v.cluster.answer(c)
}

func keyAt(at pomelo.Millis) string {
	u := uuid.New()
	for i := range 6 {
		u[i] = byte(at >> (8 * (5 - i)))
	}
	u[6] = 0x70 | u[6]&0x0f
	return u.String()
}

func (cl *cluster) placeOrder(vm, key, body string) pomelo.Answer {
	c := pomelo.Call{ID: "o", Account: "growers", Service: "shop", Method: http.MethodPost, Path: "/orders", IdempotencyKey: key, Body: []byte(body), Deadline: cl.clock.Now() + 5000}
	return cl.tables[vm].CallerHandler(nil).Handle(context.Background(), c)
}
