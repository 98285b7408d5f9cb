package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// writeCertificate writes a self-signed certificate for the loopback address, and
// returns the paths of certificate and key.
func writeCertificate(c *qt.C) (certificate, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: "entries",
		},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(private)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	certificate, key = filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	writePEM(c, certificate, "CERTIFICATE", der)
	writePEM(c, key, "EC PRIVATE KEY", keyDER)
	return certificate, key
}

func writePEM(c *qt.C, path, kind string, der []byte) {
	block := &pem.Block{
		Type:  kind,
		Bytes: der,
	}
	c.Assert(os.WriteFile(path, pem.EncodeToMemory(block), 0o600), qt.IsNil)
}

// TestTLS checks that callers, operators and peers are served over TLS, and that a
// request in plain HTTP is rejected.
func TestTLS(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	certificate, key := writeCertificate(c)
	section := fmt.Sprintf("\n[tls]\ncertificate = %q\nkey = %q\nauthority = %q\n", certificate, key, certificate)
	s := startCellWith(c, shortTermsConfig+section, 2, 1, 2)
	pemData, err := os.ReadFile(certificate)
	c.Assert(err, qt.IsNil)
	roots := x509.NewCertPool()
	c.Assert(roots.AppendCertsFromPEM(pemData), qt.IsTrue)
	client := &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				RootCAs:    roots,
				MinVersion: tls.VersionTLS12,
			},
		},
	}
	do := func(entry *entryProcess, statement string) string {
		out, err := runProgram(s.programs.galenacove, "do", statement, "--entry", "https://"+entry.operators,
			"--authority", certificate, "--token", "a token of an operator")
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
		return out
	}
	await(c, "both entries are members", func() bool {
		resp, err := client.Get("https://" + s.entries[0].operators + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK && strings.Count(do(s.entries[0], "show members"), "-entry-") == 2
	})
	do(s.entries[0], "set team omuti weight 1; set service field-desk team omuti")
	for _, entry := range s.entries {
		await(c, "requests are answered", func() bool {
			resp, err := client.Get("https://" + entry.callers + "/services/field-desk/check")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	// A query that misses no member shows that the connections between the peers
	// work.
	c.Assert(do(s.entries[1], "show offsets"), qt.Not(qt.Contains), "not heard of")
	status, _, err := s.entries[0].sendRequest("plain")
	c.Assert(err != nil || status == http.StatusBadRequest, qt.IsTrue)
}
