package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pomeloworks/pomelo"
)

// exchange is one request and what its failure says about its effect.
type exchange struct {
	method  string
	url     string
	body    []byte
	timeout pomelo.Millis
	ran     pomelo.Ran
}

func (c *Client) read(ctx context.Context, path string, query url.Values, timeout pomelo.Millis, into any) error {
	return c.do(ctx, exchange{
		method:  http.MethodGet,
		url:     c.base + path + "?" + query.Encode(),
		timeout: timeout,
		ran:     pomelo.RanNo,
	}, into)
}

func (c *Client) write(ctx context.Context, path string, message, into any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadRequest, err.Error(), "send a value that JSON can hold")
	}
	return c.do(ctx, exchange{
		method:  http.MethodPost,
		url:     c.base + path,
		body:    body,
		timeout: c.timeout,
		ran:     pomelo.RanUnknown,
	}, into)
}

func (c *Client) do(ctx context.Context, e exchange, into any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, e.method, e.url, bytes.NewReader(e.body))
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, err.Error(), "correct the store's URL")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return e.unavailable(err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return e.unavailable(err.Error())
	}
	return e.parse(res.StatusCode, data, into)
}

func (e exchange) parse(status int, data []byte, into any) error {
	if status >= http.StatusInternalServerError {
		return e.unavailable(fmt.Sprintf("status %d", status))
	}
	if status != http.StatusOK {
		return e.refusal(status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return e.unavailable("unreadable answer: " + err.Error())
	}
	return nil
}

func (e exchange) refusal(status int, data []byte) error {
	var f pomelo.Fault
	if err := json.Unmarshal(data, &f); err != nil || f.Kind == "" {
		return e.unavailable(fmt.Sprintf("status %d without a fault", status))
	}
	return &f
}

func (e exchange) unavailable(message string) error {
	f := pomelo.NewFault(pomelo.KindStoreUnavailable, "the store gave no usable answer: "+message, "try again later")
	f.Ran = e.ran
	if e.ran == pomelo.RanUnknown {
		f.Remedy = "read the record to see whether the write took effect, then try again"
	}
	return f
}
