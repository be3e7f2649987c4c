package kvhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/strict"
)

const (
	defaultTimeout      = pomelo.Millis(2000)
	maxIdleConnsPerHost = 16 // connections
)

// Client is a pomelo.Store that calls one store over HTTP; it is safe for concurrent use.
type Client struct {
	base    string
	timeout pomelo.Millis
	client  *http.Client
}

var _ pomelo.Store = (*Client)(nil)

type grantRequest struct {
	TTL pomelo.Millis `json:"ttl_ms"`
}

type leaseMessage struct {
	Lease pomelo.LeaseID `json:"lease"`
}

// New returns a client of the store at a base URL, such as "http://127.0.0.1:7000".
func New(url string, opts ...func(*Client)) *Client {
	c := &Client{
		base:    strings.TrimRight(url, "/"),
		timeout: defaultTimeout,
		client:  &http.Client{Transport: strict.New(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost})},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithTimeout sets the timeout of each call in milliseconds; for a watch its wait is added.
func WithTimeout(d pomelo.Millis) func(*Client) {
	return func(c *Client) { c.timeout = d }
}

// WithMetrics counts the bytes sent and received as the metric "store.bytes".
func WithMetrics(m pomelo.Metrics) func(*Client) {
	return func(c *Client) {
		c.client.Transport = strict.New(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DialContext: countingDialer(m)})
	}
}

// Epoch returns 0: the epoch of this store is a record, which package follow reads and writes.
func (c *Client) Epoch() int64 {
	return 0
}

// Get returns the record, or KindNotFound.
func (c *Client) Get(ctx context.Context, key string) (pomelo.Record, error) {
	var r pomelo.Record
	err := c.read(ctx, "/record", url.Values{"key": {key}}, c.timeout, &r)
	return r, err
}

// List returns the records whose key starts with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) (pomelo.Listing, error) {
	var l pomelo.Listing
	err := c.read(ctx, "/records", url.Values{"prefix": {prefix}}, c.timeout, &l)
	return l, err
}

// Put writes a record if its revision is the expected one, and returns KindConflict otherwise.
func (c *Client) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	// JSON encoding would silently replace the invalid bytes and change the key.
	if !utf8.ValidString(w.Key) {
		return pomelo.Record{}, pomelo.NewFault(pomelo.KindBadRequest, "the key is not UTF-8", "encode the key as UTF-8")
	}
	var r pomelo.Record
	err := c.write(ctx, "/record", w, &r)
	return r, err
}

// Grant creates a lease that expires ttl milliseconds after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl pomelo.Millis) (pomelo.LeaseID, error) {
	var m leaseMessage
	err := c.write(ctx, "/lease", grantRequest{TTL: ttl}, &m)
	return m.Lease, err
}

// Renew extends a lease; it returns KindLeaseExpired if the lease no longer exists.
func (c *Client) Renew(ctx context.Context, id pomelo.LeaseID) error {
	return c.write(ctx, "/lease/renew", leaseMessage{Lease: id}, &leaseMessage{})
}

// Revoke ends a lease and deletes its records; it succeeds if the lease no longer exists.
func (c *Client) Revoke(ctx context.Context, id pomelo.LeaseID) error {
	return c.write(ctx, "/lease/revoke", leaseMessage{Lease: id}, &leaseMessage{})
}

// Watch waits up to wait milliseconds for changes under prefix after since, or returns KindWatchCompacted.
func (c *Client) Watch(ctx context.Context, prefix string, since pomelo.Revision, wait pomelo.Millis) (pomelo.Listing, error) {
	query := url.Values{
		"prefix":  {prefix},
		"since":   {strconv.FormatInt(int64(since), 10)},
		"wait_ms": {strconv.FormatInt(int64(wait), 10)},
	}
	var l pomelo.Listing
	err := c.read(ctx, "/watch", query, wait+c.timeout, &l)
	return l, err
}
