package census

import "github.com/pomeloworks/pomelo"

// Record is a member's record in the store, or its removal, of which only the member's VM is known.
type Record struct {
	Member   pomelo.Member
	Revision pomelo.Revision
	Deleted  bool
}
