// Package pick chooses the member that a call is sent to: the better of two
// random ones, in the node's own availability zone unless another zone is
// faster, and none that drains, sheds or fails while another is available.
package pick
