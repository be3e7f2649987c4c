package certs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/certs"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/entry"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/smartystreets/goconvey/convey"
)

const (
	now  = pomelo.Millis(1_700_000_000_000)
	hour = 3600 * 1000
)

// rig is a reloader with its two files.
type rig struct {
	t        *testing.T
	cert     string
	key      string
	log      *membuf.Buffer
	reloader *certs.Reloader
}

func newRig(t *testing.T) *rig {
	dir := t.TempDir()
	r := &rig{t: t, cert: filepath.Join(dir, "cert.pem"), key: filepath.Join(dir, "key.pem"), log: &membuf.Buffer{}}
	r.writeKeyPair(1, now+hour)
	k, err := certs.New(r.cert, r.key, clock.New(clock.WithManual(now)), logs.New(r.log))
	if err != nil {
		t.Fatal(err)
	}
	r.reloader = k
	return r
}

// newKeyPair returns the PEM encoding of a self-signed certificate and its private key.
func (r *rig) newKeyPair(serial int64, end pomelo.Millis) (cert, key []byte) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		r.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "callers"},
		NotBefore:    time.UnixMilli(0),
		NotAfter:     time.UnixMilli(int64(end)),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &k.PublicKey, k)
	if err != nil {
		r.t.Fatal(err)
	}
	b, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		r.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: b})
}

func (r *rig) writeKeyPair(serial int64, end pomelo.Millis) {
	c, k := r.newKeyPair(serial, end)
	r.writeFile(r.cert, c)
	r.writeFile(r.key, k)
}

func (r *rig) writeFile(path string, b []byte) {
	if err := os.WriteFile(path, b, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) serial() int64 {
	c, err := r.reloader.TLSConfig().GetCertificate(nil)
	convey.So(err, convey.ShouldBeNil)
	return c.Leaf.SerialNumber.Int64()
}

func TestReload(t *testing.T) {
	convey.Convey("Given a certificate in use", t, func() {
		r := newRig(t)
		convey.So(r.serial(), convey.ShouldEqual, 1)
		convey.Convey("new files are applied once", func() {
			r.writeKeyPair(2, now+hour)
			r.reloader.Reload()
			r.reloader.Reload()
			convey.So(r.serial(), convey.ShouldEqual, 2)
			convey.So(strings.Count(r.log.String(), "certificate_taken"), convey.ShouldEqual, 1)
		})
		invalidFiles := map[string]func(){
			"garbage":                   func() { r.writeFile(r.cert, []byte("x")) },
			"a missing file":            func() { _ = os.Remove(r.key) },
			"a key that does not match": func() { _, k := r.newKeyPair(2, now+hour); r.writeFile(r.key, k) },
			"an empty file":             func() { r.writeFile(r.key, nil) },
			"an expired certificate":    func() { r.writeKeyPair(2, now-hour) },
		}
		for name, breakFiles := range invalidFiles {
			convey.Convey(name+" leaves the certificate in use and is logged once, and the next valid pair is applied", func() {
				breakFiles()
				r.reloader.Reload()
				r.reloader.Reload()
				convey.So(r.serial(), convey.ShouldEqual, 1)
				convey.So(strings.Count(r.log.String(), "certificate_not_taken"), convey.ShouldEqual, 1)
				convey.So(r.log.String(), convey.ShouldNotContainSubstring, "PRIVATE KEY")
				r.writeKeyPair(3, now+hour)
				r.reloader.Reload()
				convey.So(r.serial(), convey.ShouldEqual, 3)
			})
		}
	})
	convey.Convey("At startup, files that can't be used are a settings fault, and without files there is no TLS", t, func() {
		r := newRig(t)
		_, err := certs.New(r.cert, r.cert, clock.New(), logs.New(r.log))
		convey.So(pomelo.IsKind(err, pomelo.KindBadSettings), convey.ShouldBeTrue)
		k, err := certs.New("", "", clock.New(), logs.New(r.log))
		convey.So(err, convey.ShouldBeNil)
		convey.So(k.TLSConfig(), convey.ShouldBeNil)
		k.Run(context.Background())
	})
}

// get sends a request and returns the certificate's serial number, whether an open connection was reused, and the protocol.
func get(client *http.Client, address string) (int64, bool, string) {
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+"/none", nil)
	convey.So(err, convey.ShouldBeNil)
	resp, err := client.Do(q)
	convey.So(err, convey.ShouldBeNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusNotFound)
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), reused, resp.Proto
}

func newCaller(http2 bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
		ForceAttemptHTTP2: http2,
	}}
}

func TestCallers(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		convey.Convey(fmt.Sprintf("A reload keeps open connections, and new ones get the new certificate (HTTP/2: %v)", http2), t, func() {
			r := newRig(t)
			log := logs.New(r.log)
			s := entry.New(clock.New(), config.New(mirror.New(), log), nil, nil, metric.New(), log, entry.WithTLS(r.reloader.TLSConfig()))
			convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
			defer func() { _ = s.Stop(context.Background()) }()
			old := newCaller(http2)
			serial, _, proto := get(old, s.Address())
			convey.So(serial, convey.ShouldEqual, 1)
			convey.So(proto == "HTTP/2.0", convey.ShouldEqual, http2)
			r.writeKeyPair(2, now+hour)
			r.reloader.Reload()
			serial, reused, _ := get(old, s.Address())
			convey.So(serial, convey.ShouldEqual, 1)
			convey.So(reused, convey.ShouldBeTrue)
			serial, _, _ = get(newCaller(http2), s.Address())
			convey.So(serial, convey.ShouldEqual, 2)
		})
	}
}
