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

// A renewal seen between the writing of its two files is taken up when both are
// there; meanwhile the old certificate stays in use.
func TestRenewalInTwoSteps(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	names := settings.TLS{CertificateFile: filepath.Join(dir, "c"), KeyFile: filepath.Join(dir, "k")}
	at := time.Now().Add(-time.Hour)
	write := func(name string, content []byte) {
		at = at.Add(time.Minute)
		is.NoErr(os.WriteFile(name, content, 0o600))
		is.NoErr(os.Chtimes(name, at, at))
	}
	f := &reloader{paths: names}
	serial := func() int64 {
		f.checked = time.Time{} // due again
		c, _ := f.current()
		return c.Leaf.SerialNumber.Int64()
	}
	oldCert, oldKey := certificate(t, 1)
	newCert, newKey := certificate(t, 2)
	write(names.CertificateFile, oldCert)
	write(names.KeyFile, oldKey)
	is.NoErr(f.load())
	is.Equal(serial(), int64(1))
	write(names.CertificateFile, newCert)
	is.Equal(serial(), int64(1))
	write(names.KeyFile, newKey)
	is.Equal(serial(), int64(2))
	is.NoErr(os.Remove(names.KeyFile))
	is.Equal(serial(), int64(2))
}

func TestUnfitFilesAreNamed(t *testing.T) {
	is := is.New(t)
	_, err := Server(settings.TLS{CertificateFile: "none", KeyFile: "none"})
	is.True(strings.Contains(err.Error(), "give a matching certificate and key"))
	_, err = Client(settings.TLS{})
	is.True(strings.Contains(err.Error(), "name the CA"))
}
