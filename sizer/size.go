// Package sizer defines amounts of resources (processor cores, memory and
// accelerators) and arithmetic on them. A Size describes the need of a task or the
// capacity of a worker.
package sizer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// encodedLength is the length in bytes of the binary encoding of a Size.
const encodedLength = 24

// ErrEncoding is returned for a size that cannot be decoded.
var ErrEncoding = errors.New("sizer: bad encoding of a size")

// Size is an amount of each of the three resources. The zero value is empty.
type Size struct {
	// milliCores is in thousandths of a processor core.
	milliCores int64
	// bytes is the amount of memory.
	bytes int64
	// accelerators is a number of whole accelerators.
	accelerators int64
}

// New returns a size of the given thousandths of a processor core, bytes of memory
// and whole accelerators.
func New(milliCores, bytes, accelerators int64) Size {
	return Size{
		milliCores:   milliCores,
		bytes:        bytes,
		accelerators: accelerators,
	}
}

// MilliCores returns the number of processor cores in thousandths of a core.
func (s Size) MilliCores() int64 { return s.milliCores }

// Bytes returns the memory in bytes.
func (s Size) Bytes() int64 { return s.bytes }

// Accelerators returns the number of accelerators.
func (s Size) Accelerators() int64 { return s.accelerators }

// Add returns the sum of s and t.
func (s Size) Add(t Size) Size {
	return New(s.milliCores+t.milliCores, s.bytes+t.bytes, s.accelerators+t.accelerators)
}

// Sub returns s minus t. Dimensions of the result may be negative.
func (s Size) Sub(t Size) Size {
	return New(s.milliCores-t.milliCores, s.bytes-t.bytes, s.accelerators-t.accelerators)
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	return New(s.milliCores*n, s.bytes*n, s.accelerators*n)
}

// Max returns the larger of s and t in each dimension.
func (s Size) Max(t Size) Size {
	return New(max(s.milliCores, t.milliCores), max(s.bytes, t.bytes), max(s.accelerators, t.accelerators))
}

// Fits reports whether s is at most capacity in every dimension.
func (s Size) Fits(capacity Size) bool {
	return s.milliCores <= capacity.milliCores && s.bytes <= capacity.bytes && s.accelerators <= capacity.accelerators
}

// IsZero reports whether s is zero in every dimension.
func (s Size) IsZero() bool { return s == Size{} }

// IsNegative reports whether s is below zero in any dimension.
func (s Size) IsNegative() bool {
	return s.milliCores < 0 || s.bytes < 0 || s.accelerators < 0
}

// DominantShare returns the largest fraction that s is of total in any dimension.
// Dimensions in which total is not positive are ignored.
func (s Size) DominantShare(total Size) float64 {
	return max(
		share(s.milliCores, total.milliCores),
		share(s.bytes, total.bytes),
		share(s.accelerators, total.accelerators),
	)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String returns the size in a form for display.
func (s Size) String() string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%.3g cores, %d MiB, %d accelerators", float64(s.milliCores)/1000, s.bytes/mebibyte, s.accelerators)
}

type wireSize struct {
	MilliCores   int64 `json:"milliCores"`
	Bytes        int64 `json:"bytes"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// MarshalJSON encodes the size with the keys milliCores, bytes and
// accelerators.
func (s Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireSize{
		MilliCores:   s.milliCores,
		Bytes:        s.bytes,
		Accelerators: s.accelerators,
	})
}

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (s *Size) UnmarshalJSON(data []byte) error {
	var w wireSize
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.WithStack(fmt.Errorf("%w: decode: %w", ErrEncoding, err))
	}
	*s = New(w.MilliCores, w.Bytes, w.Accelerators)
	return nil
}

// MarshalBinary encodes the size in 24 bytes, for gob.
func (s Size) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, encodedLength)
	data = binary.BigEndian.AppendUint64(data, uint64(s.milliCores))
	data = binary.BigEndian.AppendUint64(data, uint64(s.bytes))
	return binary.BigEndian.AppendUint64(data, uint64(s.accelerators)), nil
}

// UnmarshalBinary decodes the encoding of MarshalBinary.
func (s *Size) UnmarshalBinary(data []byte) error {
	if len(data) != encodedLength {
		return errors.Wrapf(ErrEncoding, "%d bytes", len(data))
	}
	*s = New(
		int64(binary.BigEndian.Uint64(data)),
		int64(binary.BigEndian.Uint64(data[8:])),
		int64(binary.BigEndian.Uint64(data[16:])),
	)
	return nil
}
