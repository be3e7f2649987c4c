package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const defaultInterval = pomelo.Millis(5_000)

// Reloader holds the certificate of the newest files that were valid.
type Reloader struct {
	certificateFile string
	keyFile         string
	clock           pomelo.Clock
	log             pomelo.Logger
	interval        pomelo.Millis
	lastRead        keyPair
	current         atomic.Pointer[tls.Certificate]
}

// keyPair is the content of the certificate file and the private key file.
type keyPair struct {
	certificate []byte
	key         []byte
}

// New reads the two files; an empty certificateFile disables TLS, and files that can't be used are KindBadSettings.
func New(certificateFile, keyFile string, clock pomelo.Clock, log pomelo.Logger, opts ...func(*Reloader)) (*Reloader, error) {
	r := &Reloader{certificateFile: certificateFile, keyFile: keyFile, clock: clock, log: log, interval: defaultInterval}
	for _, o := range opts {
		o(r)
	}
	if certificateFile == "" {
		return r, nil
	}
	p, err := r.read()
	if err == nil {
		err = r.apply(p)
	}
	if err != nil {
		return nil, pomelo.NewFault(pomelo.KindBadSettings, "the certificate for callers can't be used: "+err.Error(), "correct caller.certificate_file and caller.private_key_file")
	}
	return r, nil
}

// WithInterval sets the interval between two checks of the files, in milliseconds.
func WithInterval(d pomelo.Millis) func(*Reloader) {
	return func(r *Reloader) { r.interval = d }
}

// TLSConfig returns the listener's configuration, which gives each new connection the current certificate; it is nil without TLS.
func (r *Reloader) TLSConfig() *tls.Config {
	if r.certificateFile == "" {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// Run reloads changed files until the context ends.
func (r *Reloader) Run(ctx context.Context) {
	if r.certificateFile == "" {
		return
	}
	for r.clock.Sleep(ctx, r.interval) == nil {
		r.Reload()
	}
}

// Reload applies the files if they have changed; invalid files are logged once and leave the certificate in use.
func (r *Reloader) Reload() {
	p, err := r.read()
	if err != nil {
		p = keyPair{}
	}
	if p.equal(r.lastRead) {
		return
	}
	if err == nil {
		err = r.apply(p)
	}
	r.lastRead = p
	if err != nil {
		r.log.Warn("certificate_not_taken", "file", r.certificateFile, "error", err.Error(), "remedy", "correct both files; the old certificate stays in use")
		return
	}
	r.log.Info("certificate_taken", "file", r.certificateFile, "not_after", r.current.Load().Leaf.NotAfter.UTC().Format(time.RFC3339))
}

func (r *Reloader) read() (keyPair, error) {
	c, err := os.ReadFile(r.certificateFile)
	if err != nil {
		return keyPair{}, errors.Wrap(err, "read certificate")
	}
	s, err := os.ReadFile(r.keyFile)
	return keyPair{certificate: c, key: s}, errors.Wrap(err, "read private key")
}

// apply uses the certificate for new connections, unless it does not match the key or has expired.
func (r *Reloader) apply(p keyPair) error {
	c, err := tls.X509KeyPair(p.certificate, p.key)
	if err != nil {
		return err
	}
	if c.Leaf.NotAfter.UnixMilli() < int64(r.clock.Now()) {
		return errors.Newf("the certificate expired at %s", c.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	r.lastRead = p
	r.current.Store(&c)
	return nil
}

func (p keyPair) equal(q keyPair) bool {
	return bytes.Equal(p.certificate, q.certificate) && bytes.Equal(p.key, q.key)
}
