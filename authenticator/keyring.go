// Package authenticator decides which organisation a caller's key belongs to, and
// whether the configuration that lists the keys is recent enough to accept any.
//
// The package does no input or output. Keys are held and compared as digests only, and
// no error contains a key, a digest or any other part of a header.
package authenticator

import (
	"crypto/sha256"
	"strings"

	"github.com/cockroachdb/errors"
)

// The errors of Keyring.Resolve.
var (
	// ErrMissing means that the call carries no Authorization header.
	ErrMissing = errors.New("authenticator: no key")
	// ErrSeveral means that the call carries more than one Authorization header.
	ErrSeveral = errors.New("authenticator: several Authorization headers")
	// ErrOversized means that the header is too long to hold a key.
	ErrOversized = errors.New("authenticator: oversized Authorization header")
	// ErrScheme means that the scheme of the header is not Bearer.
	ErrScheme = errors.New("authenticator: not the Bearer scheme")
	// ErrMalformed means that the header holds no well-formed key.
	ErrMalformed = errors.New("authenticator: malformed key")
	// ErrUnknown means that no organisation has the key.
	ErrUnknown = errors.New("authenticator: unknown key")
	// ErrAmbiguous means that several organisations have the key, so that it does not
	// tell on whose behalf the call is made.
	ErrAmbiguous = errors.New("authenticator: key of several organisations")
)

const (
	scheme = "Bearer"
	// maxHeaderBytes is the maximum length of the header's value in bytes. It bounds the
	// work for a refused call.
	maxHeaderBytes = 1024
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// String implements fmt.Stringer. It does not return the digest, so that formatting a
// configuration discloses none.
func (Digest) String() string {
	return "digest of a key"
}

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Keyring finds the organisation of a key. It must not be changed once it is shared.
type Keyring struct {
	// organisations counts the organisations, including those without keys.
	organisations int
	// names holds the name of the organisation of each key, or "" for a key of several
	// organisations.
	names map[Digest]string
}

// NewKeyring returns a keyring without organisations.
func NewKeyring() *Keyring {
	return &Keyring{
		names: make(map[Digest]string),
	}
}

// Add adds an organisation with its keys. The keys of an organisation without a name are
// unknown, since the empty name stands for no organisation.
func (k *Keyring) Add(name string, keys ...Digest) {
	k.organisations++
	if name == "" {
		return
	}
	for _, key := range keys {
		if other, found := k.names[key]; found && other != name {
			k.names[key] = ""
			continue
		}
		k.names[key] = name
	}
}

// Required reports whether callers need a key, which they do as soon as there is an
// organisation.
func (k *Keyring) Required() bool {
	return k.organisations > 0
}

// Resolve returns the name of the organisation whose key the values of the Authorization
// headers carry. Its errors are marked with one of the errors above.
func (k *Keyring) Resolve(authorization []string) (string, error) {
	key, err := bearerKey(authorization)
	if err != nil {
		return "", err
	}
	name, found := k.names[DigestOf(key)]
	switch {
	case !found:
		return "", ErrUnknown
	case name == "":
		return "", ErrAmbiguous
	default:
		return name, nil
	}
}

// bearerKey returns the key that the headers carry. The scheme is compared without
// regard to case and may be followed by several spaces, as RFC 9110 has it.
func bearerKey(authorization []string) (string, error) {
	switch {
	case len(authorization) == 0:
		return "", ErrMissing
	case len(authorization) > 1:
		return "", ErrSeveral
	case authorization[0] == "":
		return "", ErrMissing
	case len(authorization[0]) > maxHeaderBytes:
		return "", ErrOversized
	}
	given, key, _ := strings.Cut(authorization[0], " ")
	if !strings.EqualFold(given, scheme) {
		return "", ErrScheme
	}
	key = strings.TrimLeft(key, " ")
	if key == "" || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", ErrMalformed
	}
	return key, nil
}
