// Package certificates builds TLS configurations from certificate files. The files
// are reloaded when they change, so that certificates can be renewed without a restart.
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

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = time.Second

// Server returns the TLS configuration of a listener. With a client CA, clients must
// present a certificate signed by that CA.
func Server(t settings.TLS) (*tls.Config, error) {
	r := &reloader{paths: t}
	if err := r.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := r.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}, NextProtos: []string{"http/1.1"}}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}, nil
}

// Client returns a function that returns the TLS configuration for the next connection
// to a peer. The instance presents its certificate, and the peer must present one that is
// signed by the client CA. Peers are dialled by IP address, so that their certificates must
// contain it.
func Client(t settings.TLS) (func() *tls.Config, error) {
	if t.ClientCAFile == "" {
		return nil, errors.New("peers.tls.clientCAFile is missing; name the CA that signs the instances' certificates")
	}
	r := &reloader{paths: t}
	if err := r.load(); err != nil {
		return nil, err
	}
	return func() *tls.Config {
		certificate, pool := r.current()
		return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{*certificate}}
	}, nil
}

// reloader holds the content of certificate files, and reloads them when they change. Safe for
// concurrent use.
type reloader struct {
	paths settings.TLS

	mu          sync.Mutex
	certificate *tls.Certificate
	pool        *x509.CertPool
	modified    time.Time // modification time of the files when they were last reloaded
	checked     time.Time // time of the last check
}

// load reads the files. If it fails, the content stays as it is.
func (r *reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.paths.CertificateFile, r.paths.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate %s can't be loaded; give a matching certificate and key: %w", r.paths.CertificateFile, err)
	}
	pool, err := loadPool(r.paths.ClientCAFile)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.certificate, r.pool = &certificate, pool
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
		return nil, fmt.Errorf("clientCAFile %s contains no certificate; give a file with certificates in PEM", name)
	}
	return pool, nil
}

// current returns the certificate and the CA pool. While the files can't be loaded, such as
// during a renewal, it returns the previous ones.
func (r *reloader) current() (*tls.Certificate, *x509.CertPool) {
	if modified, due := r.needsReload(); due && r.load() == nil {
		r.mu.Lock()
		r.modified = modified
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.certificate, r.pool
}

// needsReload reports whether the files have changed since they were last reloaded, and returns
// the latest of their modification times. It reports false within checkInterval of the last check.
func (r *reloader) needsReload() (modified time.Time, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checked) < checkInterval {
		return modified, false
	}
	r.checked = now
	for _, name := range []string{r.paths.CertificateFile, r.paths.KeyFile, r.paths.ClientCAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return modified, false
		}
		if info.ModTime().After(modified) {
			modified = info.ModTime()
		}
	}
	return modified, modified.After(r.modified)
}
