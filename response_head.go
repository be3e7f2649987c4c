package pomelo

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// The range of status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ValidateResponse returns an error if the head of a response that net/http has parsed is not valid HTTP/1; such a response states nothing, and the bytes behind it belong to no request.
func ValidateResponse(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Newf("the response's version %.20q is not HTTP/1", r.Proto)
	}
	if r.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("the response switches protocols, and the request has not asked for it")
	}
	if !httpguts.ValidHeaderFieldValue(r.Status) {
		return errors.Newf("the response's status line %.40q holds a control byte", r.Status)
	}
	return ValidateHead(r.StatusCode, r.Header)
}

// ValidateHead returns an error if the status code is none of HTTP, or a header is not valid.
func ValidateHead(status int, h http.Header) error {
	if status < minStatus || status > maxStatus {
		return errors.Newf("the response's status %03d is not between %d and %d", status, minStatus, maxStatus)
	}
	return ValidateFields(h)
}

// ValidateFields returns an error if a field's name is not a token, or its value holds a control byte (RFC 9110, section 5).
func ValidateFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("the response has the field name %.40q, which is not a token", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Newf("the response's field %s holds a control byte", name)
			}
		}
	}
	return nil
}
