package faults

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// authority is a certificate authority for a test.
type authority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

// write writes a PEM file into the authority's directory and returns its path.
func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate and its key for an IP address, and returns the TLS settings for them.
func (a *authority) issue(ip string) *settings.TLS {
	a.t.Helper()
	a.serial++
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial + 1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &settings.TLS{
		CertificateFile: a.write(ip+".pem", "CERTIFICATE", der),
		KeyFile:         a.write(ip+".key", "EC PRIVATE KEY", keyDER),
		ClientCAFile:    filepath.Join(a.dir, "ca.pem"),
	}
}

func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.certificate)
	return p
}

// Instances link with mutual TLS, refuse clients without a certificate of their CA, and reload a renewed
// certificate without a restart.
func TestPeerLinksUseMutualTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := newAuthority(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) {
		host, _, _ := net.SplitHostPort(s.Peers.Address)
		s.Peers.TLS = a.issue(host)
	}, "fort", "fort")
	key := f.daemons[0].issue()
	is.Equal(f.daemons[1].send(call{path: releasePath, body: "a", key: key}).body, service.ResponseBody("a"))

	unauthenticated := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.pool()}}}
	_, err := unauthenticated.Get("https://" + f.daemons[0].ip + ":7003/peer")
	is.True(err != nil) // no certificate

	a.issue(f.daemons[0].ip) // renewed in place
	f.eventually("the renewed certificate is presented", func() bool {
		conn, err := tls.Dial("tcp", f.daemons[0].ip+":7003", &tls.Config{RootCAs: a.pool()})
		if err != nil {
			return false
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64() == a.serial+1
	})
}

// Callers and operators are served over TLS where it is configured, and operators need the token.
func TestCallersAndOperatorsUseTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := newAuthority(t)
	token := filepath.Join(a.dir, "token")
	is.NoErr(os.WriteFile(token, []byte("secret\n"), 0o600))
	f := newFleet(t)
	certificate := a.issue(f.ip(10))
	certificate.ClientCAFile = ""
	f.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.pool()}}
	f.startConfigured(func(s *settings.Settings) {
		s.Callers.TLS, s.Operators.TLS, s.Operators.TokenFile = certificate, certificate, token
	})
	status := func(port, path, bearer string) int {
		h, err := http.NewRequest(http.MethodGet, "https://"+f.ip(10)+port+path, nil)
		is.NoErr(err)
		h.Header.Set("Authorization", "Bearer "+bearer)
		r, err := f.client.Do(h)
		if err != nil {
			return 0
		}
		r.Body.Close()
		return r.StatusCode
	}
	f.eventually("the daemon is ready", func() bool { return status(":7002", "/readyz", "") == http.StatusOK })
	is.Equal(status(":7002", "/v1/status", "guess"), http.StatusUnauthorized)
	is.Equal(status(":7002", "/v1/status", "secret"), http.StatusOK)
	is.Equal(status(":7001", "/v1/models", apiKey), http.StatusOK)
	is.Equal(status(":7001", "/v1/models", "guess"), api.ReasonUnknownAPIKey.HTTPStatus())
	log, err := os.ReadFile(f.daemons[0].log.Name())
	is.NoErr(err)
	is.True(len(log) > 0)
	for _, secret := range []string{"secret", apiKey} {
		is.True(!strings.Contains(string(log), secret)) // no secret in the log
	}
}
