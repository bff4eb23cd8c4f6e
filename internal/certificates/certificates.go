// Package certificates makes TLS configurations from files that are read again
// when they change, so that certificates are renewed without a restart.
package certificates

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/settings"
)

// checkInterval is how often a file's time of change is looked at, at most.
const checkInterval = time.Second

// Server returns the configuration of a listener. With a client CA it lets in
// only clients with a certificate that the CA signed.
func Server(t settings.TLS) (*tls.Config, error) {
	f := &reloader{paths: t}
	if err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := f.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}, NextProtos: []string{"http/1.1"}}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}, nil
}

// Client returns what makes the configuration of each dialling to a peer: the
// instance shows its certificate and wants one of the same CA. Peers are dialled by
// IP number, so that their certificates must name it.
func Client(t settings.TLS) (func() *tls.Config, error) {
	if t.ClientCAFile == "" {
		return nil, errors.New("peers.tls.clientCAFile is missing; name the CA that signs the instances' certificates")
	}
	f := &reloader{paths: t}
	if err := f.load(); err != nil {
		return nil, err
	}
	return func() *tls.Config {
		certificate, pool := f.current()
		return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{*certificate}}
	}, nil
}

// reloader holds what was last read. Safe for concurrent use.
type reloader struct {
	paths settings.TLS

	mu          sync.Mutex
	certificate *tls.Certificate
	pool        *x509.CertPool
	changed     time.Time
	checked     time.Time
}

func (f *reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(f.paths.CertificateFile, f.paths.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate %s can't be used; give a matching certificate and key: %w", f.paths.CertificateFile, err)
	}
	pool, err := loadPool(f.paths.ClientCAFile)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.certificate, f.pool = &certificate, pool
	return nil
}

func loadPool(name string) (*x509.CertPool, error) {
	if name == "" {
		return nil, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("clientCAFile can't be read; name a readable file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("clientCAFile %s holds no certificate; give PEM", name)
	}
	return pool, nil
}

// current returns what the files hold. While they can't be read, as in the midst
// of a renewal, what was read before stays in use.
func (f *reloader) current() (*tls.Certificate, *x509.CertPool) {
	if changed, due := f.needsReload(); due && f.load() == nil {
		f.mu.Lock()
		f.changed = changed
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.certificate, f.pool
}

// needsReload tells whether the files have changed since they were last read whole, and
// when the later of the two did.
func (f *reloader) needsReload() (changed time.Time, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.checked) < checkInterval {
		return changed, false
	}
	f.checked = now
	for _, name := range []string{f.paths.CertificateFile, f.paths.KeyFile, f.paths.ClientCAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return changed, false
		}
		if info.ModTime().After(changed) {
			changed = info.ModTime()
		}
	}
	return changed, changed.After(f.changed)
}
