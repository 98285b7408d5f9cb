package router

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHeaderSeconds is the largest number of seconds accepted in a header.
const maxHeaderSeconds = 24 * 60 * 60

// errMalformedHeader is wrapped by the errors for malformed headers.
var errMalformedHeader = errors.New("router: malformed header")

// hopByHop lists HTTP's hop-by-hop headers, which belong to one connection, in
// canonical form.
var hopByHop = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHop removes the hop-by-hop headers, and those named by the Connection
// header.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// formatSeconds formats a duration as decimal seconds.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 6, 64)
}

// parseSeconds parses decimal seconds, above 0 and up to a day.
func parseSeconds(s string) (time.Duration, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0) || f > maxHeaderSeconds {
		return 0, errors.Wrapf(errMalformedHeader, "seconds %q", s)
	}
	return time.Duration(f * float64(time.Second)), nil
}

// parseBool parses "true" or "false".
func parseBool(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.Wrapf(errMalformedHeader, "neither true nor false: %q", s)
	}
}

// singleValue returns the value of a header, and whether it is given. It fails if
// the header is given several times.
func singleValue(h http.Header, name string) (string, bool, error) {
	values := h.Values(name)
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", false, errors.Wrapf(errMalformedHeader, "%s is given %d times", name, len(values))
	}
}

// headerOptions returns the options set by the Galenacove headers, and the
// Idempotency-Key, of a caller's request.
func headerOptions(h http.Header, now time.Time) ([]RequestOption, error) {
	var opts []RequestOption
	readers := []struct {
		name string
		read func(value string) (RequestOption, error)
	}{
		{HeaderIdempotencyKey, readIdempotencyKey},
		{HeaderTeam, readTeam},
		{HeaderIdempotent, readIdempotent},
		{HeaderDeadline, func(value string) (RequestOption, error) {
			left, err := parseSeconds(value)
			return Deadline(now.Add(left)), err
		}},
	}
	for _, reader := range readers {
		value, given, err := singleValue(h, reader.name)
		if err != nil {
			return nil, err
		}
		if !given {
			continue
		}
		opt, err := reader.read(value)
		if err != nil {
			return nil, errors.Wrapf(err, "router: header %s", reader.name)
		}
		opts = append(opts, opt)
	}
	return opts, nil
}

// readIdempotencyKey reads the caller's identity, which may be a quoted string as
// in structured fields.
func readIdempotencyKey(value string) (RequestOption, error) {
	if len(value) >= 2 && value[0] == '"' && value[len(value)-1] == '"' {
		value = value[1 : len(value)-1]
	}
	if value == "" {
		return nil, errors.Wrap(errMalformedHeader, "empty value")
	}
	return Identity(value), nil
}

func readTeam(value string) (RequestOption, error) {
	return Team(value), nil
}

func readIdempotent(value string) (RequestOption, error) {
	idempotent, err := parseBool(value)
	return Idempotent(idempotent), err
}
