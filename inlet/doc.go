// Package inlet is the HTTP/1.1 listener for callers: it reads pipelined
// requests, handles them concurrently, and writes the replies in the order of
// the requests.
package inlet
