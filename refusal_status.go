package pomelo

import (
	"math"
	"net/http"
	"strconv"
)

// HTTPStatus returns the HTTP status of a refusal of this kind.
func HTTPStatus(k Kind) int {
	switch k {
	case KindNoKey, KindKeyUnknown, KindKeyWithdrawn, KindUnauthorized:
		return http.StatusUnauthorized
	case KindNoRoute, KindNotFound:
		return http.StatusNotFound
	case KindBadRequest, KindBadCallToken, KindBadCommand:
		return http.StatusBadRequest
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindRateExceeded:
		return http.StatusTooManyRequests
	case KindDeadline, KindCanceled:
		return http.StatusGatewayTimeout
	case KindInProgress, KindConflict:
		return http.StatusConflict
	case KindIdempotencyKeyReused:
		return http.StatusUnprocessableEntity
	case KindUpstreamFailed, KindPeerLost, KindProtocol, KindInDoubt:
		return http.StatusBadGateway
	case KindInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// IsNotRunStatus reports whether the status tells a caller that its request has not run and never will.
func IsNotRunStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// SetRefusalHeaders sets the headers of a refusal: whether the request ran, and Retry-After in whole seconds.
func SetRefusalHeaders(h http.Header, f *Fault) {
	h.Set(HeaderRan, string(f.Ran))
	if f.RetryAfter > 0 {
		s := math.Ceil(float64(f.RetryAfter) / 1000)
		h.Set("Retry-After", strconv.Itoa(int(s)))
	}
}
