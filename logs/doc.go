// Package logs writes events as logfmt lines.
package logs
