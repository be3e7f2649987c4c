package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/strict"
)

// defaultTimeout is longer than a node needs for any answer, not counting the wait that a command requests.
const defaultTimeout = pomelo.Millis(30_000)

// Client sends requests to the administration listener of one node.
type Client struct {
	baseURL string
	token   string
	timeout pomelo.Millis
	http    *http.Client
}

// New returns a Client for the administration listener at host:port.
func New(address string, opts ...func(*Client)) *Client {
	c := &Client{baseURL: "http://" + address, timeout: defaultTimeout, http: newHTTPClient()}
	for _, o := range opts {
		o(c)
	}
	return c
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: strict.New(http.DefaultTransport.(*http.Transport).Clone())}
}

// WithToken sets the operator's token that authorizes requests.
func WithToken(token string) func(*Client) {
	return func(c *Client) { c.token = token }
}

// WithTimeout sets how long, in milliseconds, a node has to answer, in addition to the wait that a command requests.
func WithTimeout(d pomelo.Millis) func(*Client) {
	return func(c *Client) { c.timeout = d }
}

// Command sends a command, under a new id if it has none. The error is KindInDoubt when the answer to a change was lost; the result then holds the id to repeat the command with.
func (c *Client) Command(ctx context.Context, q pomelo.CommandRequest) (pomelo.CommandResult, error) {
	if q.ID == "" {
		q.ID = uuid.Must(uuid.NewV7()).String()
	}
	out := pomelo.CommandResult{ID: q.ID}
	b, err := json.Marshal(q)
	if err != nil {
		return out, errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, (c.timeout + q.Wait).Duration())
	defer cancel()
	if err := c.roundTrip(ctx, http.MethodPost, "/command", b, &out); err != nil {
		return out, lostResponseFault(q, err)
	}
	if out.Fault != nil {
		return out, out.Fault
	}
	return out, nil
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "give -node as host:port")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return transportFault(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return transportFault(err)
	}
	return errors.Wrap(json.Unmarshal(b, into), "decode answer; check that -node is an administration address")
}

// transportFault returns the fault for a failed round trip. Unless the connection could not be opened, it is unknown whether the command ran.
func transportFault(err error) error {
	f := pomelo.NewFault(pomelo.KindStoreUnavailable, pomelo.ErrorText(err), "check -node, or ask another node")
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		f.Ran = pomelo.RanUnknown
	}
	return f
}

// lostResponseFault returns KindInDoubt when the answer to a change was lost. A show command can simply be repeated, so its error is returned unchanged.
func lostResponseFault(q pomelo.CommandRequest, err error) error {
	f := pomelo.FaultOf(err)
	if f.Ran != pomelo.RanUnknown || strings.HasPrefix(strings.TrimSpace(q.Command), "show") {
		return err
	}
	d := pomelo.NewFault(pomelo.KindInDoubt, "the node's answer was lost: "+f.Message, "give the same command with -id "+q.ID+", at this node or another")
	d.Ran = pomelo.RanUnknown
	return d
}

// Burn returns the node's burn report; the error is a *pomelo.Fault when the node refuses.
func (c *Client) Burn(ctx context.Context) (pomelo.BurnReport, error) {
	var out struct {
		pomelo.BurnReport
		Fault *pomelo.Fault `json:"fault"`
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	if err := c.roundTrip(ctx, http.MethodGet, "/burn", nil, &out); err != nil {
		return out.BurnReport, err
	}
	if out.Fault != nil {
		return out.BurnReport, out.Fault
	}
	return out.BurnReport, nil
}
