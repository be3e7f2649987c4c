package pomelo

// Gaps are the fields of a part of a policy that could not be read, as a set.
type Gaps uint64

// Fields of routes, accounts, services and of the policy itself.
const (
	GapHost Gaps = 1 << iota
	GapPrefix
	GapTargets
	GapNonIdempotent
	GapOpen
	GapTimeout
	GapObjective
	GapAttempts
	GapImportance
	GapRegions
	GapName
	GapKeys
	// GapKey is an element of a list of keys that is none; the others could be read.
	GapKey
	GapRate
	GapBurst
	GapHealthPath
	GapWarmup
	GapHeadBytes
	GapBodyBytes
	GapHeadTimeout
	GapIdleTimeout
	// GapObject is the whole part.
	GapObject
	GapRoutes
	GapServices
	GapAccounts
)

// Has reports whether one of the fields is in the set.
func (g Gaps) Has(x Gaps) bool {
	return g&x != 0
}

// Set adds the fields to the set if the condition holds.
func (g *Gaps) Set(x Gaps, holds bool) {
	if holds {
		*g |= x
	}
}

// Kinds of parts of a policy.
const (
	PartRoute    = "route"
	PartRoutes   = "routes"
	PartService  = "service"
	PartServices = "services"
	PartAccount  = "account"
	PartAccounts = "accounts"
	PartLimits   = "limits"
)

// UnreadPart names a part of a policy with fields that could not be read, and the reason; Name is empty for a whole table.
type UnreadPart struct {
	Kind   string
	Name   string
	Reason string
}
