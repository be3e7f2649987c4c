package pomelo

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const fingerprintBytes = 16

// Fingerprint identifies the calls that have the same content and client account, whatever their ids and the VMs where they begin.
type Fingerprint string

// Fingerprint returns the digest of the call's method, host, path, account and body.
func (c Call) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.Path), []byte(c.Account), c.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
