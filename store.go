package pomelo

import "context"

// Revision orders the store's writes; 0 means "no such record".
type Revision int64

// LeaseID identifies a lease of the store; 0 means "no lease".
type LeaseID int64

// Record is one key and value of the store, with the revision of its last write.
type Record struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Write is a compare-and-swap: it takes effect only if the record's revision is Expected (0: absent).
type Write struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Expected Revision `json:"expected"`
	Lease    LeaseID  `json:"lease,omitempty"`
	Delete   bool     `json:"delete,omitempty"`
}

// Listing holds the records under a prefix at one revision of the whole store; Epoch is 0 if the store does not report it.
type Listing struct {
	Records  []Record `json:"records"`
	Revision Revision `json:"revision"`
	Epoch    int64    `json:"epoch,omitempty"`
}

// Position returns the state of the store that the listing shows.
func (l Listing) Position() Position {
	return Position{Epoch: l.Epoch, Revision: l.Revision}
}

// Store is the platform's key-value service; after KindStoreUnavailable, which any method may return, a write may or may not have taken effect.
type Store interface {
	// Epoch returns the highest epoch in any answer so far, which rises when the store returns with an older state; 0 if the store does not report it.
	Epoch() int64
	// Get returns KindNotFound when there is no such record.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put returns the written record, KindConflict when the expected revision is not the current one, or KindLeaseExpired.
	Put(ctx context.Context, w Write) (Record, error)
	// Grant creates a lease that expires ttl milliseconds after its last renewal, which deletes its records.
	Grant(ctx context.Context, ttl Millis) (LeaseID, error)
	// Renew returns KindLeaseExpired when the lease no longer exists.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its records.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits up to wait milliseconds for changes under prefix after since; KindWatchCompacted requires a new List.
	Watch(ctx context.Context, prefix string, since Revision, wait Millis) (Listing, error)
}
