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

// start is in milliseconds; keys of tests are made by this time, not by the machine's.
const start = pomelo.Millis(1_800_000_000_000)

// world is a service's nodes, of which one owns all rights.
type world struct {
	mu     sync.Mutex
	clock  *clock.Clock
	owner  string
	before pomelo.Member
	// process counts the processes that each VM has had.
	process map[string]int
	since   pomelo.Millis
	former  pomelo.Millis
	// silent VMs answer no question.
	silent map[string]bool
	books  map[string]*claim.Book
	runs   map[string]int
	answer func(c pomelo.Call) pomelo.Answer
	gone   map[string]bool
}

func newWorld(opts ...func(*claim.Book)) *world {
	w := &world{
		clock:   clock.New(clock.WithManual(start)),
		owner:   "a",
		since:   start - 3_600_000,
		books:   map[string]*claim.Book{},
		runs:    map[string]int{},
		gone:    map[string]bool{},
		process: map[string]int{}, silent: map[string]bool{},
	}
	w.answer = func(c pomelo.Call) pomelo.Answer {
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte("answer of " + string(c.Body))}
	}
	for _, vm := range []string{"a", "b", "c"} {
		v := view{world: w, vm: vm, process: 0}
		w.books[vm] = claim.New(w.clock, v, v, w, v, v, append(opts, claim.WithPeers(w))...)
	}
	return w
}

// change gives all rights to another owner, as after the loss or the leave of the one before.
func (w *world) change(owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before = w.member(w.owner)
	w.owner = owner
	w.former = w.since
	w.since = w.clock.Now()
}

func (w *world) total(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[body]
}

// Send carries the call to the member's book.
func (w *world) Send(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	return w.book(m.VM).Owned(nil).Handle(ctx, c)
}

// Request carries a handover from the owner before to the present one, and a question back.
func (w *world) Request(ctx context.Context, m pomelo.Member, kind pomelo.MessageKind, request, reply any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return err
	}
	w.mu.Lock()
	from, owner, silent := w.before, w.member(w.owner), w.silent[m.VM]
	w.mu.Unlock()
	if silent {
		return pomelo.NewFault(pomelo.KindPeerLost, "silent", "")
	}
	respond := w.book(m.VM).Receive
	if kind == pomelo.MessageClaim {
		respond = w.book(m.VM).Answer
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

func (w *world) book(vm string) *claim.Book {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.books[vm]
}

// member is the VM's present process; the mutex is held.
func (w *world) member(vm string) pomelo.Member { return member(vm, w.process[vm]) }

func member(vm string, process int) pomelo.Member {
	return pomelo.Member{VM: vm, Incarnation: fmt.Sprint(vm, process), Service: "shop"}
}

var _ pomelo.OwnershipHistory = view{}

// view is what one node sees: pomelo.Standing, pomelo.Membership and its own upstream as a pomelo.Handler.
type view struct {
	pomelo.Membership
	world   *world
	vm      string
	process int
}

func (v view) Self() pomelo.Member { return member(v.vm, v.process) }

func (v view) All() []pomelo.Member {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	var out []pomelo.Member
	for _, vm := range []string{"a", "b", "c"} {
		m := member(vm, v.world.process[vm])
		m.Draining = v.world.gone[vm]
		out = append(out, m)
	}
	return out
}

func (v view) Owner(string) (pomelo.Member, bool) {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.member(v.world.owner), true
}

func (v view) IsOwner(string) bool {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.owner == v.vm && v.world.process[v.vm] == v.process
}

func (v view) OwnedSince(string) pomelo.Millis {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.since
}

func (v view) Rosters() []pomelo.Roster {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return []pomelo.Roster{{Name: "r", Members: []pomelo.Member{v.world.member(v.world.owner)}, Previous: []pomelo.Member{v.world.before}}}
}

func (v view) PreviouslyOwnedSince(string) (pomelo.Millis, bool) {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.former, v.world.before == v.Self()
}

func (v view) PreviousOwner(string) (pomelo.Member, bool) {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.before, v.world.before.VM != ""
}

func (v view) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	v.world.mu.Lock()
	v.world.runs[string(c.Body)]++
	v.world.mu.Unlock()
	return v.world.answer(c)
}

func keyAt(at pomelo.Millis) string {
	u := uuid.New()
	for i := range 6 {
		u[i] = byte(at >> (8 * (5 - i)))
	}
	u[6] = 0x70 | u[6]&0x0f
	return u.String()
}

func (w *world) order(vm, key, body string) pomelo.Answer {
	c := pomelo.Call{ID: "o", Account: "growers", Service: "shop", Method: http.MethodPost, Path: "/orders", IdempotencyKey: key, Body: []byte(body), Deadline: w.clock.Now() + 5000}
	return w.books[vm].Entered(nil).Handle(context.Background(), c)
}
