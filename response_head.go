package pomelo

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// The range of status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ValidateResponse returns an error if net/http has parsed a response head that is not valid HTTP/1. Such a head states nothing, and what follows it on its connection belongs to no request.
func ValidateResponse(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Newf("the response's version %.20q is not HTTP/1", r.Proto)
	}
	if r.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("the response switches protocols, and the request has not asked for it")
	}
	return ValidateStatus(r.StatusCode)
}

// ValidateStatus returns an error if the status code is none of HTTP.
func ValidateStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Newf("the response's status %03d is not between %d and %d", status, minStatus, maxStatus)
	}
	return nil
}
