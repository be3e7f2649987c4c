package hold

import (
	"bytes"
	"net/http"
)

// Memory, in bytes, of a head for each byte of it, and for each of its fields, however short.
const (
	memoryPerHeadByte = 4
	memoryPerField    = 256
)

// OfHead returns the memory that a request takes for these bytes of its head.
func OfHead(b []byte) int64 {
	return int64(memoryPerHeadByte*len(b) + memoryPerField*bytes.Count(b, []byte{'\n'}))
}

// OfFields returns the memory of the fields of a head that was read.
func OfFields(h http.Header) int64 {
	return int64(memoryPerField * len(h))
}
