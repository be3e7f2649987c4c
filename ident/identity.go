package ident

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const (
	protocolName = "pomelo/1"
	serialBits   = 128
	// Longer than any process runs; the certificate is discarded with the process.
	validity = 10 * 365 * 24 * time.Hour
)

// Identity is a process's key pair and certificate, generated at start and kept only in memory.
type Identity struct {
	certificate tls.Certificate
	fingerprint string
}

// New generates a key pair and a self-signed certificate.
func New() (*Identity, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key pair")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make serial number")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "make certificate")
	}
	return &Identity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private},
		fingerprint: fingerprintOf(der),
	}, nil
}

// Fingerprint returns the hex SHA-256 of the certificate, as published in the node's member record.
func (i *Identity) Fingerprint() string {
	return i.fingerprint
}

// ServerTLS returns a server configuration that accepts the peers whose certificate fingerprint is trusted.
func (i *Identity) ServerTLS(isTrusted func(fingerprint string) bool) *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{i.certificate},
		NextProtos:            []string{protocolName},
		ClientAuth:            tls.RequireAnyClientCert,
		VerifyPeerCertificate: verify(isTrusted),
	}
}

// ClientTLS returns a client configuration that accepts only the peer whose certificate has the given fingerprint.
func (i *Identity) ClientTLS(fingerprint string) *tls.Config {
	pinned := func(f string) bool { return f == fingerprint }
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		NextProtos:   []string{protocolName},
		// Certificates are self-signed; the pinned fingerprint replaces verification of the chain.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: verify(pinned),
	}
}

// PeerFingerprint returns the fingerprint of the peer's certificate, or an empty string if the peer sent none.
func PeerFingerprint(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return fingerprintOf(s.PeerCertificates[0].Raw)
}

func verify(isTrusted func(string) bool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 1 && isTrusted(fingerprintOf(raw[0])) {
			return nil
		}
		return pomelo.NewFault(pomelo.KindUnauthorized, "the peer's certificate is not in the registry", "wait until its record has arrived, or replace the process")
	}
}

func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}
