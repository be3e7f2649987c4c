package pomelo

// GrantAsk asks the home of one of Parts parts of a client account's rate for tokens that the asking node may use within TTL milliseconds; Used reports what was used of earlier grants.
type GrantAsk struct {
	Account string      `cbor:"1,keyasint"`
	Part    int         `cbor:"2,keyasint"`
	Want    float64     `cbor:"3,keyasint"`
	TTL     Millis      `cbor:"4,keyasint"`
	Used    []GrantUsed `cbor:"5,keyasint,omitempty"`
	Parts   int         `cbor:"6,keyasint"`
}

// GrantUsed says how many tokens of a grant have been used in all; when it is Done no more will be.
type GrantUsed struct {
	ID   uint64  `cbor:"1,keyasint"`
	Used float64 `cbor:"2,keyasint"`
	Done bool    `cbor:"3,keyasint,omitempty"`
}

// Grant answers a GrantAsk; Level is what the part has left, and Moved says that the part's home is another node now.
type Grant struct {
	Account string  `cbor:"1,keyasint"`
	Part    int     `cbor:"2,keyasint"`
	ID      uint64  `cbor:"3,keyasint"`
	Tokens  float64 `cbor:"4,keyasint"`
	Level   float64 `cbor:"5,keyasint"`
	Moved   bool    `cbor:"6,keyasint,omitempty"`
}

// GrantBatch is one message to one home.
type GrantBatch struct {
	Asks []GrantAsk `cbor:"1,keyasint"`
}

// GrantDraw is what to ask of one home, which Home names.
type GrantDraw struct {
	Home string
	Asks []GrantAsk
}

// GrantReply answers a GrantBatch.
type GrantReply struct {
	Grants []Grant `cbor:"1,keyasint"`
}

// RatePart is one home's part of a client account's rate, in requests a second, and burst, in requests.
type RatePart struct {
	Rate  float64
	Burst float64
}

// Most and fewest parts of a client account, and the bursts from which there are more.
const (
	rateMostParts  = 12
	rateSomeParts  = 6
	rateFewParts   = 3
	burstMostParts = 18
	burstSomeParts = 9
	burstFewParts  = 4.5
)

// PartsOf is the number of parts that an account of this burst is cut into.
func PartsOf(a ClientAccount) int {
	switch {
	case a.Burst >= burstMostParts:
		return rateMostParts
	case a.Burst >= burstSomeParts:
		return rateSomeParts
	case a.Burst >= burstFewParts:
		return rateFewParts
	}
	return 1
}

// PartOf is each part of the account, which are alike.
func PartOf(a ClientAccount) RatePart {
	n := float64(PartsOf(a))
	return RatePart{Rate: a.Rate / n, Burst: a.Burst / n}
}
