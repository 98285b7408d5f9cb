package allotter

import (
	"math/bits"

	"github.com/galenacove/galenacove/sizer"
)

// Whole is the number of parts into which each resource of a maximum is divided.
const Whole = 1_000_000

// The resources, as indexes of Parts.
const (
	Cores = iota
	Memory
	Accelerators
	resources
)

// Parts holds a number of parts of each resource of an organisation's maximum.
type Parts [resources]int64

// Add returns the sum of p and q.
func (p Parts) Add(q Parts) Parts {
	for i := range p {
		p[i] += q[i]
	}
	return p
}

// Sub returns p minus q. Elements of the result may be negative.
func (p Parts) Sub(q Parts) Parts {
	for i := range p {
		p[i] -= q[i]
	}
	return p
}

// Max returns the larger of p and q in each resource.
func (p Parts) Max(q Parts) Parts {
	for i := range p {
		p[i] = max(p[i], q[i])
	}
	return p
}

// Min returns the smaller of p and q in each resource.
func (p Parts) Min(q Parts) Parts {
	for i := range p {
		p[i] = min(p[i], q[i])
	}
	return p
}

// IsZero reports whether p has no parts of any resource.
func (p Parts) IsZero() bool { return p == Parts{} }

// amounts returns the amount of each resource of a size, in the order of Parts.
func amounts(size sizer.Size) [resources]int64 {
	return [resources]int64{
		Cores:        size.MilliCores(),
		Memory:       size.Bytes(),
		Accelerators: size.Accelerators(),
	}
}

// PartsOf returns the least parts of the maximum that represent the size, at most Whole
// in each resource. They are 0 in a resource that the maximum does not limit.
func PartsOf(size, maximum sizer.Size) Parts {
	var parts Parts
	wanted := amounts(size)
	for i, limit := range amounts(maximum) {
		if limit > 0 {
			parts[i] = scaleUp(min(wanted[i], limit), Whole, limit)
		}
	}
	return parts
}

// SizeOf returns the amounts of the maximum that the parts represent, rounded down. They
// are unlimited in a resource that the maximum does not limit.
func SizeOf(parts Parts, maximum, unlimited sizer.Size) sizer.Size {
	size := amounts(unlimited)
	for i, limit := range amounts(maximum) {
		if limit > 0 {
			size[i] = scaleDown(min(parts[i], Whole), limit, Whole)
		}
	}
	return sizer.New(size[Cores], size[Memory], size[Accelerators])
}

// Limited returns the parts, with 0 in each resource that the maximum does not limit.
func Limited(parts Parts, maximum sizer.Size) Parts {
	for i, limit := range amounts(maximum) {
		if limit <= 0 {
			parts[i] = 0
		}
	}
	return parts
}

// scaleDown returns a*b/c, rounded down, and 0 if a is not positive. The product may
// exceed 64 bits: an organisation's memory in bytes times Whole does. a must be at most
// c.
func scaleDown(a, b, c int64) int64 {
	if a <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(a), uint64(b))
	quotient, _ := bits.Div64(high, low, uint64(c))
	return int64(quotient)
}

// scaleUp is scaleDown, but rounds up.
func scaleUp(a, b, c int64) int64 {
	if a <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(a), uint64(b))
	quotient, remainder := bits.Div64(high, low, uint64(c))
	if remainder > 0 {
		quotient++
	}
	return int64(quotient)
}
