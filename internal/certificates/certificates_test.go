package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/settings"
)

// certificate returns a self-signed certificate and its key, in PEM.
func certificate(t *testing.T, serial int64) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
}

// A renewal writes the certificate and the key one after the other. The old certificate stays in
// use until both match, and also after a file was removed.
func TestCertificateStaysInUseUntilRenewalIsComplete(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	paths := settings.TLS{CertificateFile: filepath.Join(dir, "c"), KeyFile: filepath.Join(dir, "k")}
	at := time.Now().Add(-time.Hour)
	write := func(name string, content []byte) {
		at = at.Add(time.Minute)
		is.NoErr(os.WriteFile(name, content, 0o600))
		is.NoErr(os.Chtimes(name, at, at))
	}
	f := &reloader{paths: paths}
	serial := func() int64 {
		f.checked = time.Time{} // makes the next check due
		c, _ := f.current()
		return c.Leaf.SerialNumber.Int64()
	}
	oldCert, oldKey := certificate(t, 1)
	newCert, newKey := certificate(t, 2)
	write(paths.CertificateFile, oldCert)
	write(paths.KeyFile, oldKey)
	is.NoErr(f.load())
	is.Equal(serial(), int64(1))
	write(paths.CertificateFile, newCert)
	is.Equal(serial(), int64(1))
	write(paths.KeyFile, newKey)
	is.Equal(serial(), int64(2))
	is.NoErr(os.Remove(paths.KeyFile))
	is.Equal(serial(), int64(2))
}

func TestErrorsNameTheRemedy(t *testing.T) {
	is := is.New(t)
	_, err := Server(settings.TLS{CertificateFile: "none", KeyFile: "none"})
	is.True(strings.Contains(err.Error(), "give a matching certificate and key"))
	_, err = Client(settings.TLS{})
	is.True(strings.Contains(err.Error(), "name the CA"))
}
