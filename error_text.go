package pomelo

import "strings"

// maxErrorText is the maximum length of an error's text in bytes, without its mark.
const maxErrorText = 200

// ErrorText returns the start of the text of an error, which may repeat bytes that a peer has sent.
func ErrorText(err error) string {
	s := err.Error()
	if len(s) <= maxErrorText {
		return s
	}
	return strings.ToValidUTF8(s[:maxErrorText], "") + "..."
}
