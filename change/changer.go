package change

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
)

const (
	defaultTimeout  = pomelo.Millis(5_000)
	digestHexDigits = 16
)

// Changer executes operators' commands that change configuration records in the store.
type Changer struct {
	store   pomelo.Store
	clock   pomelo.Clock
	timeout pomelo.Millis
}

// New returns a Changer that writes to store.
func New(store pomelo.Store, opts ...func(*Changer)) *Changer {
	c := &Changer{store: store, clock: clock.New(), timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithClock sets the clock for the times of planned stops and for the command timeout.
func WithClock(k pomelo.Clock) func(*Changer) {
	return func(c *Changer) { c.clock = k }
}

// WithTimeout sets how long, in milliseconds, a command whose write is in doubt is retried while the store does not answer.
func WithTimeout(d pomelo.Millis) func(*Changer) {
	return func(c *Changer) { c.timeout = d }
}

// Run executes a command under a new id, whatever the record's current revision.
func (c *Changer) Run(ctx context.Context, cmd pomelo.Command) (pomelo.CommandResult, error) {
	return c.Execute(ctx, pomelo.Change{Command: cmd})
}

// Execute applies a change at most once, however often it is called with the same id. The error is KindInDoubt while it is unknown whether the change was written, and KindConflict or another refusal when nothing was written.
func (c *Changer) Execute(ctx context.Context, ch pomelo.Change) (pomelo.CommandResult, error) {
	if ch.ID == "" {
		ch.ID = newID()
	}
	digest, err := commandDigest(ch.Command)
	if err != nil {
		return pomelo.CommandResult{ID: ch.ID}, err
	}
	// A caller that disconnects must not leave the outcome unknown, so the command ends only by its own timeout.
	ctx = context.WithoutCancel(ctx)
	result, err := c.dispatch(ctx, operation{Change: ch, digest: digest, deadline: c.clock.Now() + c.timeout})
	result.ID = ch.ID
	return result, err
}

func (c *Changer) dispatch(ctx context.Context, o operation) (pomelo.CommandResult, error) {
	cmd := o.Command
	switch {
	case cmd.IssueKey != nil:
		return c.issueKey(ctx, o, *cmd.IssueKey)
	case cmd.WithdrawKey != nil:
		return c.withdrawKey(ctx, o, *cmd.WithdrawKey)
	case cmd.SetAccount != nil:
		return c.setAccount(ctx, o, *cmd.SetAccount)
	case cmd.SetRoute != nil:
		return c.setRoute(ctx, o, *cmd.SetRoute)
	case cmd.RemoveRoute != nil:
		return c.removeRoute(ctx, o, *cmd.RemoveRoute)
	case cmd.SetObjective != nil:
		return c.setObjective(ctx, o, *cmd.SetObjective)
	case cmd.StopVM != nil:
		return c.planStop(ctx, o, *cmd.StopVM)
	case cmd.CancelStop != nil:
		return c.cancelStop(ctx, o, *cmd.CancelStop)
	case cmd.LostVM != nil:
		return pomelo.CommandResult{}, badCommand("lost vm is reserved and does nothing yet", "see docs/operators.md for a lost VM")
	}
	return pomelo.CommandResult{}, badCommand("the command changes nothing", "ask for a table with show")
}

// operation is the execution of one change; after the deadline, requests to a store that does not answer are no longer retried.
type operation struct {
	pomelo.Change
	digest   string
	deadline pomelo.Millis
}

// commandDigest returns a short hash of a command, by which a reused command id with another command is detected.
func commandDigest(cmd pomelo.Command) (string, error) {
	b, err := json.Marshal(cmd)
	if err != nil {
		return "", errors.Wrap(err, "encode command")
	}
	return hash(string(b))[:digestHexDigits], nil
}

func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

func hash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func badCommand(message, remedy string) error {
	return pomelo.NewFault(pomelo.KindBadCommand, message, remedy)
}
