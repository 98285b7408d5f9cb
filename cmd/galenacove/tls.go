package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/loader"
)

// errTLS is returned for certificates or keys that cannot be used.
var errTLS = errors.New("cannot use the TLS files")

// loadTLS returns the TLS configuration of the callers' and operators' ports, and
// that of the connections between peers, which verify each other's certificates.
func loadTLS(files loader.TLS) (ports, peers *tls.Config, err error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate(), files.Key())
	if err != nil {
		return nil, nil, errors.WithStack(fmt.Errorf("%w: %w", errTLS, err))
	}
	roots, err := loadAuthority(files.Authority())
	if err != nil {
		return nil, nil, err
	}
	ports = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
	}
	peers = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    roots,
		RootCAs:      roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return ports, peers, nil
}

// loadAuthority reads the CA certificates against which the certificates of other
// processes are verified.
func loadAuthority(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: %w", errTLS, err))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Wrapf(errTLS, "no certificate in %s", path)
	}
	return roots, nil
}

// newOperatorClient returns an operator's HTTP client. It verifies the entry's
// certificate against the CA certificates in the file, or against those of the
// system if no file is given.
func newOperatorClient(authority string) (*http.Client, error) {
	if authority == "" {
		return http.DefaultClient, nil
	}
	roots, err := loadAuthority(authority)
	if err != nil {
		return nil, err
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				RootCAs:    roots,
				MinVersion: tls.VersionTLS12,
			},
		},
	}, nil
}
