package storer

const (
	// defaultRecordLimit and defaultRequestLimit are the limits of the platform's store.
	defaultRecordLimit  = 256 << 10
	defaultRequestLimit = 2 << 20
	// recordOverhead is an upper bound of what a store counts for a record besides its key
	// and its value.
	recordOverhead = 16
)

// Limits are the sizes that a store accepts.
type Limits struct {
	record, request int
}

// NewLimits returns limits for the size of a record, and for that of all records of one
// append, in bytes. 0 stands for the default: 256 KiB and 2 MiB.
func NewLimits(record, request int) Limits {
	l := Limits{
		record:  record,
		request: request,
	}
	if l.record == 0 {
		l.record = defaultRecordLimit
	}
	if l.request == 0 {
		l.request = defaultRequestLimit
	}
	return l
}

// Record returns the largest size of a record, in bytes.
func (l Limits) Record() int {
	return l.record
}

// Fits reports whether the store takes a record of that size.
func (l Limits) Fits(record Record) bool {
	return sizeOf(record) <= l.record
}

// FitsRequest reports whether the store takes records of that total size in one append.
func (l Limits) FitsRequest(size int) bool {
	return size <= l.request
}

// Size returns the size of the records as the store counts it, or somewhat more.
func Size(records ...Record) int {
	total := 0
	for _, record := range records {
		total += sizeOf(record)
	}
	return total
}

func sizeOf(record Record) int {
	return len(record.Key) + len(record.Value) + recordOverhead
}
