package pomelo

// MemberRecord is a member's record in the store, or its removal, of which only the member's VM is known.
type MemberRecord struct {
	Member   Member
	Revision Revision
	Deleted  bool
}
