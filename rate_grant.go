package pomelo

// GrantRequest asks the home of one of Parts parts of a client account's rate for tokens that the asking node may use within TTL milliseconds; Used reports what was used of earlier grants.
type GrantRequest struct {
	Account string       `cbor:"1,keyasint"`
	Shard   int          `cbor:"2,keyasint"`
	Tokens  float64      `cbor:"3,keyasint"`
	TTL     Millis       `cbor:"4,keyasint"`
	Used    []GrantUsage `cbor:"5,keyasint,omitempty"`
	Shards  int          `cbor:"6,keyasint"`
}

// GrantUsage says how many tokens of a grant have been used in all; when it is Done no more will be.
type GrantUsage struct {
	ID       uint64  `cbor:"1,keyasint"`
	Used     float64 `cbor:"2,keyasint"`
	Finished bool    `cbor:"3,keyasint,omitempty"`
}

// Grant answers a GrantAsk; Level is what the part has left, and Moved says that the part's home is another node now.
type Grant struct {
	Account    string  `cbor:"1,keyasint"`
	Shard      int     `cbor:"2,keyasint"`
	ID         uint64  `cbor:"3,keyasint"`
	Tokens     float64 `cbor:"4,keyasint"`
	TokensLeft float64 `cbor:"5,keyasint"`
	Moved      bool    `cbor:"6,keyasint,omitempty"`
}

// GrantBatch is one message to one home.
type GrantBatch struct {
	Requests []GrantRequest `cbor:"1,keyasint"`
}

// OwnerGrantRequests is what to ask of one home, which Home names.
type OwnerGrantRequests struct {
	Owner    string
	Requests []GrantRequest
}

// GrantReply answers a GrantBatch.
type GrantReply struct {
	Grants []Grant `cbor:"1,keyasint"`
}

// RateShard is one home's part of a client account's rate, in requests a second, and burst, in requests.
type RateShard struct {
	Rate  float64
	Burst float64
}

// Most and fewest parts of a client account, and the bursts from which there are more.
const (
	shardsLargeBurst  = 12
	shardsMediumBurst = 6
	shardsSmallBurst  = 3
	largeBurst        = 18
	mediumBurst       = 9
	smallBurst        = 4.5
)

// ShardCount is the number of parts that an account of this burst is cut into.
func ShardCount(a ClientAccount) int {
	switch {
	case a.Burst >= largeBurst:
		return shardsLargeBurst
	case a.Burst >= mediumBurst:
		return shardsMediumBurst
	case a.Burst >= smallBurst:
		return shardsSmallBurst
	}
	return 1
}

// ShardOf is each part of the account, which are alike.
func ShardOf(a ClientAccount) RateShard {
	n := float64(ShardCount(a))
	return RateShard{Rate: a.Rate / n, Burst: a.Burst / n}
}
