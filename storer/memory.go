package storer

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// defaultPartitions is how many partitions a topic has in Memory.
	defaultPartitions = 12
	// newestPage bounds the records of one page of Newest.
	newestPage = 500
	// repeats is how many of the last appends of a writer are recognised.
	repeats = 5
)

// Memory is a Store in the memory of one process. It keeps all records until
// Trim is called.
type Memory struct {
	clock      timekeeper.Clock
	partitions int

	mu sync.Mutex
	// failing is returned by every call while it is set.
	failing error
	parts   map[Partition]*memoryPartition
	groups  map[string]*memoryGroup
	// changed is closed and replaced whenever a record is appended.
	changed chan struct{}
}

type memoryPartition struct {
	records []Record
	// first is the offset of records[0].
	first   int64
	newest  map[string]Record
	writers map[string]*memoryWriter
}

type memoryWriter struct {
	epoch int64
	// next is the sequence number of the next append.
	next int64
	// ends are the results of the last appends, by sequence number.
	ends map[int64]int64
}

type memoryGroup struct {
	generation int64
	members    map[string]*memoryMember
	owners     map[Partition]string
}

type memoryMember struct {
	topics  []string
	expires time.Time
	seen    int64
}

// MemoryOption changes how a Memory works.
type MemoryOption func(*Memory)

// Partitions sets how many partitions a topic has. The default is 12.
func Partitions(n int) MemoryOption {
	return func(m *Memory) {
		m.partitions = n
	}
}

// NewMemory returns an empty store.
func NewMemory(clock timekeeper.Clock, opts ...MemoryOption) *Memory {
	m := &Memory{
		clock:      clock,
		partitions: defaultPartitions,
		parts:      make(map[Partition]*memoryPartition),
		groups:     make(map[string]*memoryGroup),
		changed:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Fail makes every call return the error, until it is nil again.
func (m *Memory) Fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = err
}

// Trim forgets the records before an offset. The newest record of each key
// stays.
func (m *Memory) Trim(of Partition, before int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partition(of)
	if n := before - p.first; n > 0 {
		n = min(n, int64(len(p.records)))
		p.records = slices.Clone(p.records[n:])
		p.first += n
	}
}

// Append implements Store.
func (m *Memory) Append(_ context.Context, to Partition, writer *Writer, records ...Record) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing != nil {
		return 0, m.failing
	}
	p := m.partition(to)
	var known *memoryWriter
	if writer != nil {
		var end int64
		var err error
		if known, end, err = p.admit(*writer, len(records) == 0); err != nil || known == nil {
			return end, err
		}
	}
	for _, record := range records {
		record.Offset = p.end()
		record.Value = slices.Clone(record.Value)
		p.records = append(p.records, record)
		if record.Value == nil {
			delete(p.newest, record.Key)
		} else {
			p.newest[record.Key] = record
		}
	}
	if known != nil {
		known.ends[writer.Sequence] = p.end()
		delete(known.ends, writer.Sequence-repeats)
		known.next = writer.Sequence + 1
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return p.end(), nil
}

// AppendAt implements Store.
func (m *Memory) AppendAt(ctx context.Context, to Partition, at int64, records ...Record) (int64, error) {
	m.mu.Lock()
	end := m.partition(to).end()
	m.mu.Unlock()
	if end != at {
		return 0, ErrConflict
	}
	return m.Append(ctx, to, nil, records...)
}

// admit checks a writer's epoch and sequence. It returns no writer where
// nothing is left to append.
func (p *memoryPartition) admit(writer Writer, empty bool) (*memoryWriter, int64, error) {
	known := p.writers[writer.Name]
	if known == nil {
		known = &memoryWriter{
			epoch: -1,
		}
		p.writers[writer.Name] = known
	}
	switch {
	case writer.Epoch < known.epoch:
		return nil, 0, ErrFenced
	case writer.Epoch > known.epoch:
		known.epoch = writer.Epoch
		known.next = writer.Sequence
		known.ends = make(map[int64]int64)
	}
	if empty {
		return nil, p.end(), nil
	}
	if end, found := known.ends[writer.Sequence]; found {
		return nil, end, nil
	}
	// The first append of an epoch may start at any number.
	if len(known.ends) > 0 && writer.Sequence != known.next {
		return nil, 0, ErrConflict
	}
	return known, 0, nil
}

// Read implements Store.
func (m *Memory) Read(ctx context.Context, of Partition, from int64, wait time.Duration) (Page, error) {
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := m.readNow(of, from)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C():
			return page, nil
		case <-ctx.Done():
			return Page{}, ErrUnavailable
		}
	}
}

func (m *Memory) readNow(of Partition, from int64) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing != nil {
		return Page{}, nil, m.failing
	}
	p := m.partition(of)
	if from < p.first {
		return Page{}, nil, ErrTrimmed
	}
	page := Page{
		Next: p.end(),
		End:  p.end(),
	}
	if from < p.end() {
		page.Records = slices.Clone(p.records[from-p.first:])
	}
	return page, m.changed, nil
}

// Newest implements Store.
func (m *Memory) Newest(_ context.Context, of Partition, after string) (NewestPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing != nil {
		return NewestPage{}, m.failing
	}
	p := m.partition(of)
	page := NewestPage{
		End: p.end(),
	}
	for key, record := range p.newest {
		if key > after {
			page.Records = append(page.Records, record)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool {
		return page.Records[i].Key < page.Records[j].Key
	})
	if len(page.Records) > newestPage {
		page.Records = page.Records[:newestPage]
		page.More = true
	}
	return page, nil
}

// Join implements Store.
func (m *Memory) Join(_ context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Assignment, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing != nil {
		return Assignment{}, m.failing
	}
	g := m.group(group)
	now := m.clock.Now()
	m.expire(g, now)
	known := g.members[member]
	if known == nil {
		known = &memoryMember{}
		g.members[member] = known
		g.generation++
	}
	known.topics = topics
	known.expires = now.Add(ttl)
	known.seen = generation
	m.deal(g)
	held := Assignment{
		Generation: g.generation,
	}
	for part, owner := range g.owners {
		if owner == member {
			held.Partitions = append(held.Partitions, part)
		}
	}
	return held, nil
}

// Leave implements Store.
func (m *Memory) Leave(_ context.Context, group, member string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing != nil {
		return m.failing
	}
	g := m.group(group)
	if _, found := g.members[member]; found {
		delete(g.members, member)
		g.generation++
		m.deal(g)
	}
	return nil
}

// Revoke takes all partitions of a group away from their holders at once, as
// the users' store does at times, and deals them anew.
func (m *Memory) Revoke(group string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	clear(g.owners)
	clear(g.members)
	g.generation++
}

// Owners implements Store.
func (m *Memory) Owners(_ context.Context, group string) ([]Ownership, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing != nil {
		return nil, m.failing
	}
	g := m.group(group)
	m.expire(g, m.clock.Now())
	m.deal(g)
	var owners []Ownership
	for part, member := range g.owners {
		owners = append(owners, Ownership{
			Partition: part,
			Member:    member,
		})
	}
	return owners, nil
}

func (m *Memory) expire(g *memoryGroup, now time.Time) {
	for name, member := range g.members {
		if now.After(member.expires) {
			delete(g.members, name)
			g.generation++
		}
	}
}

// deal gives each partition to the member that is due. A partition that is
// held by another member changes hands once that member has seen the present
// generation, or is gone.
func (m *Memory) deal(g *memoryGroup) {
	names := make([]string, 0, len(g.members))
	topics := make(map[string]bool)
	for name, member := range g.members {
		names = append(names, name)
		for _, topic := range member.topics {
			topics[topic] = true
		}
	}
	slices.Sort(names)
	for part, owner := range g.owners {
		if g.members[owner] == nil {
			delete(g.owners, part)
		}
	}
	if len(names) == 0 {
		return
	}
	for topic := range topics {
		for number := range m.partitions {
			part := Partition{
				Topic:  topic,
				Number: number,
			}
			due := names[number%len(names)]
			owner, held := g.owners[part]
			if !held || owner == due || g.members[owner].seen >= g.generation {
				g.owners[part] = due
			}
		}
	}
}

func (m *Memory) partition(name Partition) *memoryPartition {
	p := m.parts[name]
	if p == nil {
		p = &memoryPartition{
			newest:  make(map[string]Record),
			writers: make(map[string]*memoryWriter),
		}
		m.parts[name] = p
	}
	return p
}

func (m *Memory) group(name string) *memoryGroup {
	g := m.groups[name]
	if g == nil {
		g = &memoryGroup{
			members: make(map[string]*memoryMember),
			owners:  make(map[Partition]string),
		}
		m.groups[name] = g
	}
	return g
}

func (p *memoryPartition) end() int64 {
	return p.first + int64(len(p.records))
}
