package parser

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// UnitError is returned for a quantity that is malformed or has the wrong unit.
type UnitError struct {
	text string
	want string
}

// Text returns the quantity.
func (e *UnitError) Text() string { return e.text }

// Want describes the expected quantity, such as "a whole number".
func (e *UnitError) Want() string { return e.want }

// Error returns the quantity and the description of the expected one.
func (e *UnitError) Error() string {
	return fmt.Sprintf("parser: %q is not %s", e.text, e.want)
}

const wantCores = "an amount of cores, such as 4, 0.5 or 500m"

const milliCoresPerCore = 1000

// byteUnits lists the units of memory, the largest first.
var byteUnits = []struct {
	name  string
	bytes int64
}{
	{
		name:  "PiB",
		bytes: 1 << 50,
	},
	{
		name:  "TiB",
		bytes: 1 << 40,
	},
	{
		name:  "GiB",
		bytes: 1 << 30,
	},
	{
		name:  "MiB",
		bytes: 1 << 20,
	},
	{
		name:  "KiB",
		bytes: 1 << 10,
	},
	{
		name:  "B",
		bytes: 1,
	},
}

// ParseCores parses an amount of CPU in thousandths of a core: cores, as in 4
// or 0.5, or thousandths, as in 500m.
func ParseCores(text string) (int64, error) {
	if thousandths, ok := strings.CutSuffix(text, "m"); ok {
		return parseScaled(thousandths, 1, wantCores, text)
	}
	return parseScaled(text, milliCoresPerCore, wantCores, text)
}

// ParseBytes parses an amount of memory in bytes: a number with one of the
// units B, KiB, MiB, GiB, TiB and PiB, or 0.
func ParseBytes(text string) (int64, error) {
	const want = "an amount of memory, such as 512MiB or 2GiB"
	if text == "0" {
		return 0, nil
	}
	for _, unit := range byteUnits {
		if number, ok := strings.CutSuffix(text, unit.name); ok {
			return parseScaled(number, unit.bytes, want, text)
		}
	}
	return 0, unitError(text, want)
}

// ParseDuration parses a duration above 0 with its units, as in 30s or 1h30m.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, unitError(text, "a time above 0, such as 30s or 1h30m")
	}
	return d, nil
}

// ParseCount parses a whole number that is at least 0.
func ParseCount(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, unitError(text, "a whole number")
	}
	return n, nil
}

// ParseNumber parses a finite number without a unit.
func ParseNumber(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(n, 0) || math.IsNaN(n) {
		return 0, unitError(text, "a number without a unit")
	}
	return n, nil
}

// parseScaled returns the product of number and unit. The product must be a
// whole number that is at least 0.
func parseScaled(number string, unit int64, want, text string) (int64, error) {
	const maxLength = 32
	value, ok := new(big.Rat).SetString(number)
	if !ok || len(number) > maxLength || strings.ContainsAny(number, "eE/xX_") {
		return 0, unitError(text, want)
	}
	value.Mul(value, new(big.Rat).SetInt64(unit))
	if !value.IsInt() || !value.Num().IsInt64() || value.Sign() < 0 {
		return 0, unitError(text, want)
	}
	return value.Num().Int64(), nil
}

func unitError(text, want string) error {
	return &UnitError{
		text: text,
		want: want,
	}
}

// formatCores is the inverse of ParseCores.
func formatCores(milliCores int64) string {
	if milliCores%milliCoresPerCore == 0 {
		return strconv.FormatInt(milliCores/milliCoresPerCore, 10)
	}
	return strconv.FormatInt(milliCores, 10) + "m"
}

// formatBytes is the inverse of ParseBytes.
func formatBytes(bytes int64) string {
	for _, unit := range byteUnits {
		if bytes > 0 && bytes%unit.bytes == 0 {
			return strconv.FormatInt(bytes/unit.bytes, 10) + unit.name
		}
	}
	return "0"
}

func formatNumber(n float64) string {
	return strconv.FormatFloat(n, 'g', -1, 64)
}
