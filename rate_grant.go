package pomelo

// GrantRequest asks the owner of one shard of a client account's token bucket for tokens that the requesting node may use within TTL milliseconds.
type GrantRequest struct {
	Account string  `cbor:"1,keyasint"`
	Shard   int     `cbor:"2,keyasint"`
	Tokens  float64 `cbor:"3,keyasint"`
	TTL     Millis  `cbor:"4,keyasint"`
	// Used reports the use of earlier grants.
	Used []GrantUsage `cbor:"5,keyasint,omitempty"`
}

// GrantUsage is the number of tokens of a grant used so far; Finished means that no more will be used.
type GrantUsage struct {
	ID       uint64  `cbor:"1,keyasint"`
	Used     float64 `cbor:"2,keyasint"`
	Finished bool    `cbor:"3,keyasint,omitempty"`
}

// Grant answers a GrantRequest.
type Grant struct {
	Account string  `cbor:"1,keyasint"`
	Shard   int     `cbor:"2,keyasint"`
	ID      uint64  `cbor:"3,keyasint"`
	Tokens  float64 `cbor:"4,keyasint"`
	// TokensLeft is the number of tokens left in the shard.
	TokensLeft float64 `cbor:"5,keyasint"`
	// Moved reports that another node owns the shard now.
	Moved bool `cbor:"6,keyasint,omitempty"`
	// StartsIn is the time, in milliseconds, until the shard starts to earn tokens: grants of its previous owner may be used until then.
	StartsIn Millis `cbor:"7,keyasint,omitempty"`
}

// GrantBatch is one message to the owner of the requested shards.
type GrantBatch struct {
	Requests []GrantRequest `cbor:"1,keyasint"`
}

// OwnerGrantRequests groups the requests for one shard owner.
type OwnerGrantRequests struct {
	Owner    string
	Requests []GrantRequest
}

// GrantReply answers a GrantBatch.
type GrantReply struct {
	Grants []Grant `cbor:"1,keyasint"`
}

// RateShard is one shard of a client account's token bucket: its rate, in requests per second, and burst, in requests.
type RateShard struct {
	Rate  float64
	Burst float64
}

// MaxShards is the number of shards of any account's token bucket; an account with a small burst uses only the first ones.
const MaxShards = 12

// Number of shards in use by the burst of the client account, and the minimum burst of each number, in requests.
const (
	shardsMediumBurst = 6
	shardsSmallBurst  = 3
	largeBurst        = 18
	mediumBurst       = 9
	smallBurst        = 4.5
)

// ShardCount returns the number of shards of the account's token bucket that are in use, which depends on its burst.
func ShardCount(a ClientAccount) int {
	switch {
	case a.Burst >= largeBurst:
		return MaxShards
	case a.Burst >= mediumBurst:
		return shardsMediumBurst
	case a.Burst >= smallBurst:
		return shardsSmallBurst
	}
	return 1
}

// ShardOf returns a shard of the account's token bucket: an equal part of it, or nothing if the shard is not in use.
func ShardOf(a ClientAccount, shard int) RateShard {
	if shard < 0 || shard >= ShardCount(a) {
		return RateShard{}
	}
	n := float64(ShardCount(a))
	return RateShard{Rate: a.Rate / n, Burst: a.Burst / n}
}
