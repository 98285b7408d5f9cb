package authenticator_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/authenticator"
)

// TestHeaderWithoutAUsableKey guards against a call that is served without exactly one
// well-formed, known key, and against errors that quote a header.
func TestHeaderWithoutAUsableKey(t *testing.T) {
	keyring := authenticator.NewKeyring()
	keyring.Add("farm", authenticator.DigestOf("farm-key"))
	keyring.Add("mill", authenticator.DigestOf("shared-key"))
	keyring.Add("port", authenticator.DigestOf("shared-key"))
	keyring.Add("", authenticator.DigestOf("nameless-key"))
	tests := map[string]struct {
		headers []string
		want    error
	}{
		"no header":                {nil, authenticator.ErrMissing},
		"an empty header":          {[]string{""}, authenticator.ErrMissing},
		"two headers":              {[]string{"Bearer farm-key", "Bearer farm-key"}, authenticator.ErrSeveral},
		"a key without a scheme":   {[]string{"farm-key"}, authenticator.ErrScheme},
		"another scheme":           {[]string{"Basic farm-key"}, authenticator.ErrScheme},
		"a longer scheme":          {[]string{"Bearers farm-key"}, authenticator.ErrScheme},
		"a scheme alone":           {[]string{"Bearer"}, authenticator.ErrMalformed},
		"a scheme and spaces":      {[]string{"Bearer   "}, authenticator.ErrMalformed},
		"two keys":                 {[]string{"Bearer farm-key farm-key"}, authenticator.ErrMalformed},
		"two headers in one":       {[]string{"Bearer farm-key, Bearer farm-key"}, authenticator.ErrMalformed},
		"a control character":      {[]string{"Bearer farm-key\t"}, authenticator.ErrMalformed},
		"not ASCII":                {[]string{"Bearer farm-kéy"}, authenticator.ErrMalformed},
		"oversized":                {[]string{"Bearer " + strings.Repeat("farm-key", 200)}, authenticator.ErrOversized},
		"a prefix of a key":        {[]string{"Bearer farm-ke"}, authenticator.ErrUnknown},
		"a key in another case":    {[]string{"Bearer Farm-key"}, authenticator.ErrUnknown},
		"a key of no organisation": {[]string{"Bearer nameless-key"}, authenticator.ErrUnknown},
		"a key of two":             {[]string{"Bearer shared-key"}, authenticator.ErrAmbiguous},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := keyring.Resolve(test.headers)
			c.Assert(err, qt.ErrorIs, test.want)
			c.Assert(got, qt.Equals, "")
			c.Assert(strings.Contains(err.Error(), "farm"), qt.IsFalse)
		})
	}
}

// TestKeyOfAnOrganisationIsRefused guards against refusing a valid key, also in the forms
// of the header that RFC 9110 allows.
func TestKeyOfAnOrganisationIsRefused(t *testing.T) {
	c := qt.New(t)
	keyring := authenticator.NewKeyring()
	c.Assert(keyring.Required(), qt.IsFalse)
	keyring.Add("farm", authenticator.DigestOf("k1"), authenticator.DigestOf("k2"))
	keyring.Add("farm", authenticator.DigestOf("k1"))
	c.Assert(keyring.Required(), qt.IsTrue)
	for _, header := range []string{"Bearer k1", "Bearer k2", "bearer k1", "BEARER  k1"} {
		name, err := keyring.Resolve([]string{header})
		c.Assert(err, qt.IsNil)
		c.Assert(name, qt.Equals, "farm")
	}
}

// TestOrganisationWithoutKeysOpensTheRoutes guards against serving everyone once the last
// key of the only organisation has been revoked.
func TestOrganisationWithoutKeysOpensTheRoutes(t *testing.T) {
	c := qt.New(t)
	keyring := authenticator.NewKeyring()
	keyring.Add("farm")
	c.Assert(keyring.Required(), qt.IsTrue)
	_, err := keyring.Resolve([]string{"Bearer k1"})
	c.Assert(err, qt.ErrorIs, authenticator.ErrUnknown)
}

// TestDigestIsDisclosedByFormatting guards against digests in logs and errors that print
// a configuration.
func TestDigestIsDisclosedByFormatting(t *testing.T) {
	c := qt.New(t)
	digest := authenticator.DigestOf("k1")
	for _, verb := range []string{"%v", "%+v", "%s"} {
		c.Assert(fmt.Sprintf(verb, []authenticator.Digest{digest}), qt.Equals, "[digest of a key]")
	}
}
