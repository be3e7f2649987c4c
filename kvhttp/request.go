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

// request is one HTTP request to the store; ranOnFailure is the value of Ran in the fault for a failure without a usable answer: whether the request may have taken effect.
type request struct {
	method       string
	url          string
	body         []byte
	timeout      pomelo.Millis
	ranOnFailure pomelo.Ran
}

func (c *Client) read(ctx context.Context, path string, query url.Values, timeout pomelo.Millis, into any) error {
	return c.do(ctx, request{
		method:       http.MethodGet,
		url:          c.base + path + "?" + query.Encode(),
		timeout:      timeout,
		ranOnFailure: pomelo.RanNo,
	}, into)
}

func (c *Client) write(ctx context.Context, path string, message, into any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadRequest, err.Error(), "send a value that JSON can hold")
	}
	return c.do(ctx, request{
		method:       http.MethodPost,
		url:          c.base + path,
		body:         body,
		timeout:      c.timeout,
		ranOnFailure: pomelo.RanUnknown,
	}, into)
}

func (c *Client) do(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, bytes.NewReader(r.body))
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, err.Error(), "correct the store's URL")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return r.unavailableFault(pomelo.ErrorText(err))
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return r.unavailableFault(pomelo.ErrorText(err))
	}
	return r.decodeResponse(res.StatusCode, data, into)
}

func (r request) decodeResponse(status int, data []byte, into any) error {
	if status >= http.StatusInternalServerError {
		return r.unavailableFault(fmt.Sprintf("status %d", status))
	}
	if status != http.StatusOK {
		return r.decodeFault(status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return r.unavailableFault("unreadable answer: " + err.Error())
	}
	return nil
}

func (r request) decodeFault(status int, data []byte) error {
	var f pomelo.Fault
	if err := json.Unmarshal(data, &f); err != nil || f.Kind == "" {
		return r.unavailableFault(fmt.Sprintf("status %d without a fault", status))
	}
	return &f
}

func (r request) unavailableFault(message string) error {
	f := pomelo.NewFault(pomelo.KindStoreUnavailable, "the store gave no usable answer: "+message, "try again later")
	f.Ran = r.ranOnFailure
	if r.ranOnFailure == pomelo.RanUnknown {
		f.Remedy = "read the record to see whether the write took effect, then try again"
	}
	return f
}
