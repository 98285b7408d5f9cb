package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MinSecretLength is the minimum length in bytes of a secret or a token.
	MinSecretLength = 16
	// maxNameLength is the maximum length in bytes of a name.
	maxNameLength = 63
	// minDuration and maxDuration bound each duration in [terms].
	minDuration = time.Millisecond
	maxDuration = time.Hour
)

// field describes one key of a section.
type field struct {
	key      string
	required bool
	// set validates the value and stores it. Its error is the message of the
	// fault.
	set func(value any) error
}

func required(key string, set func(any) error) field {
	return field{
		key:      key,
		required: true,
		set:      set,
	}
}

func optional(key string, set func(any) error) field {
	return field{
		key: key,
		set: set,
	}
}

// setString returns a setter that accepts a string which is not empty and passes
// all checks.
func setString(target *string, checks ...func(string) error) func(any) error {
	return func(value any) error {
		s, ok := value.(string)
		if !ok {
			return typeError(value, "a string")
		}
		if s == "" {
			return errors.New("is empty")
		}
		for _, check := range checks {
			if err := check(s); err != nil {
				return err
			}
		}
		*target = s
		return nil
	}
}

// setStrings returns a setter that accepts an array of at least minCount strings.
// Each is stored as returned by convert, and must be unique after that.
func setStrings(target *[]string, minCount int, convert func(string) (string, error)) func(any) error {
	return func(value any) error {
		values, ok := value.([]any)
		if !ok {
			return typeError(value, "an array of strings")
		}
		if len(values) < minCount {
			return errors.Newf("has %d, and needs at least %d", len(values), minCount)
		}
		var list []string
		for _, value := range values {
			s, ok := value.(string)
			if !ok {
				return typeError(value, "a string, as each in the array")
			}
			s, err := convert(s)
			if err != nil {
				return err
			}
			if slices.Contains(list, s) {
				return errors.Newf("%q stands twice", s)
			}
			list = append(list, s)
		}
		*target = list
		return nil
	}
}

// setDuration returns a setter that accepts a duration such as "500ms".
func setDuration(target *time.Duration) func(any) error {
	return func(value any) error {
		s, ok := value.(string)
		if !ok {
			return typeError(value, `a time with a unit, such as "500ms"`)
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return errors.Newf(`%q is no time with a unit, such as "500ms"`, s)
		}
		if d < minDuration || d > maxDuration {
			return errors.Newf("%q is not between %s and %s", s, minDuration, maxDuration)
		}
		*target = d
		return nil
	}
}

// oneOf returns a check that rejects a string that is not among the names.
func oneOf(names ...string) func(string) error {
	return func(s string) error {
		if slices.Contains(names, s) {
			return nil
		}
		return errors.Newf("%q is none of %s", s, strings.Join(names, ", "))
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

func validateName(s string) error {
	if len(s) > maxNameLength {
		return errors.Newf("is longer than %d letters", maxNameLength)
	}
	if !namePattern.MatchString(s) {
		return errors.Newf("%q is not of lower-case letters, digits and inner hyphens", s)
	}
	return nil
}

func validateSecret(s string) error {
	if len(s) < MinSecretLength {
		return errors.Newf("is shorter than %d bytes", MinSecretLength)
	}
	return nil
}

func validateAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errors.Newf("%q is no IP number with a port, such as 10.0.0.1:9000", s)
	}
	return nil
}

// validateReachable rejects an invalid address, and an unspecified one such as
// 0.0.0.0, at which peers cannot reach the process.
func validateReachable(s string) error {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return validateAddress(s)
	}
	if address.Addr().IsUnspecified() {
		return errors.Newf("%q is no address at which others reach the process", s)
	}
	return nil
}

func parseAddress(s string) (string, error) {
	if err := validateReachable(s); err != nil {
		return "", err
	}
	if netip.MustParseAddrPort(s).Port() == 0 {
		return "", errors.Newf("%q has no port", s)
	}
	return s, nil
}

// parseURL returns the base URL of a server. The server is given as an IP address
// with a port, or as a URL with the scheme http or https.
func parseURL(s string) (string, error) {
	if !strings.Contains(s, "://") {
		address, err := parseAddress(s)
		return "http://" + address, err
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", errors.Newf("%q is no address such as http://10.0.0.1:9000", s)
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "", errors.Newf("%q has more than a scheme, a host and a port", s)
	}
	return u.Scheme + "://" + u.Host, nil
}

func typeError(value any, want string) error {
	return errors.Newf("is %s, and has to be %s", typeName(value), want)
}

// typeName returns the name of the TOML type of a value, for messages.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case time.Time:
		return "a date or time"
	case map[string]any:
		return "a section"
	case []map[string]any:
		return "an array of sections"
	case []any:
		return "an array"
	default:
		return fmt.Sprintf("a %T", value)
	}
}
