package storer

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// defaultPartitions is the number of partitions of a topic in Memory.
	defaultPartitions = 12
	// maxNewestPage is the maximum number of records in a page of Newest.
	maxNewestPage = 500
	// rememberedAppends is how many of a writer's last appends are recognised
	// if they are repeated.
	rememberedAppends = 5
)

// Memory is a Store in the memory of one process. It keeps all records until Trim
// removes them.
type Memory struct {
	clock              timekeeper.Clock
	partitionsPerTopic int

	mu sync.Mutex
	// failure is returned by every call if it is not nil.
	failure error
	parts   map[Partition]*memoryPartition
	groups  map[string]*memoryGroup
}

type memoryPartition struct {
	// changed is closed and replaced by a new channel at each append.
	changed chan struct{}
	records []Record
	// firstOffset is the offset of records[0], or of the next record if there
	// are none.
	firstOffset int64
	// newest holds the newest record of each key that has not been deleted.
	newest  map[string]Record
	writers map[string]*memoryWriter
}

type memoryWriter struct {
	epoch int64
	// nextSequence is the sequence number that the next append must have.
	nextSequence int64
	// endOffsets holds the end offsets that the last appends returned, by
	// sequence number.
	endOffsets map[int64]int64
}

type memoryGroup struct {
	generation int64
	members    map[string]*memoryMember
	owners     map[Partition]string
}

type memoryMember struct {
	topics    []string
	expiresAt time.Time
	// seenGeneration is the generation that the member passed to its last Join.
	seenGeneration int64
}

// MemoryOption configures a Memory.
type MemoryOption func(*Memory)

// Partitions sets the number of partitions of each topic. The default is 12.
func Partitions(n int) MemoryOption {
	return func(m *Memory) {
		m.partitionsPerTopic = n
	}
}

// NewMemory returns an empty store.
func NewMemory(clock timekeeper.Clock, opts ...MemoryOption) *Memory {
	m := &Memory{
		clock:              clock,
		partitionsPerTopic: defaultPartitions,
		parts:              make(map[Partition]*memoryPartition),
		groups:             make(map[string]*memoryGroup),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// SetFailure makes every later call of a Store method return err, until
// SetFailure is called with nil.
func (m *Memory) SetFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = err
}

// refusal returns the error of a call, nil if it is served. A call whose time is over is not served. The
// context may be nil. The caller holds mu.
func (m *Memory) refusal(ctx context.Context) error {
	if ctx != nil && ctx.Err() != nil {
		return ErrUnavailable
	}
	return m.failure
}

// Trim removes the records before an offset: Read no longer returns them. Newest
// still returns the newest record of each key.
func (m *Memory) Trim(id Partition, before int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partition(id)
	if n := before - p.firstOffset; n > 0 {
		n = min(n, int64(len(p.records)))
		p.records = slices.Clone(p.records[n:])
		p.firstOffset += n
	}
}

// Append implements Store.
func (m *Memory) Append(ctx context.Context, id Partition, writer *Writer, records ...Record) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.appendLocked(ctx, id, writer, records)
}

// AppendAt implements Store.
func (m *Memory) AppendAt(ctx context.Context, id Partition, expectedEnd int64, records ...Record) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refusal(ctx) == nil && m.partition(id).end() != expectedEnd {
		return 0, ErrConflict
	}
	return m.appendLocked(ctx, id, nil, records)
}

// appendLocked appends records. The caller holds mu.
func (m *Memory) appendLocked(ctx context.Context, id Partition, writer *Writer, records []Record) (int64, error) {
	if err := m.refusal(ctx); err != nil {
		return 0, err
	}
	if slices.ContainsFunc(records, func(r Record) bool { return len(r.Key) > MaxKeyBytes }) {
		return 0, errors.Wrap(ErrRejected, "storer: the key of a record is too long")
	}
	p := m.partition(id)
	var writerState *memoryWriter
	if writer != nil {
		var end int64
		var err error
		if writerState, end, err = p.checkWriter(*writer, len(records) == 0); err != nil || writerState == nil {
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
	if writerState != nil {
		writerState.endOffsets[writer.Sequence] = p.end()
		delete(writerState.endOffsets, writer.Sequence-rememberedAppends)
		writerState.nextSequence = writer.Sequence + 1
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.end(), nil
}

// checkWriter checks the epoch and sequence number of an append and returns the
// writer's state. The state is nil if there is nothing to append; the end offset is
// then that of the partition if the append is empty, or that of the earlier append
// which this one repeats.
func (p *memoryPartition) checkWriter(writer Writer, empty bool) (*memoryWriter, int64, error) {
	writerState := p.writers[writer.Name]
	if writerState == nil {
		writerState = &memoryWriter{
			epoch: -1,
		}
		p.writers[writer.Name] = writerState
	}
	switch {
	case writer.Epoch < writerState.epoch:
		return nil, 0, ErrFenced
	case writer.Epoch > writerState.epoch:
		writerState.epoch = writer.Epoch
		writerState.nextSequence = writer.Sequence
		writerState.endOffsets = make(map[int64]int64)
	}
	if empty {
		return nil, p.end(), nil
	}
	if end, found := writerState.endOffsets[writer.Sequence]; found {
		return nil, end, nil
	}
	// The first append of an epoch may have any sequence number.
	if len(writerState.endOffsets) > 0 && writer.Sequence != writerState.nextSequence {
		return nil, 0, ErrConflict
	}
	return writerState, 0, nil
}

// Read implements Store.
func (m *Memory) Read(ctx context.Context, id Partition, from int64, wait time.Duration) (Page, error) {
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := m.readNow(ctx, id, from)
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

func (m *Memory) readNow(ctx context.Context, id Partition, from int64) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refusal(ctx); err != nil {
		return Page{}, nil, err
	}
	p := m.partition(id)
	if from < p.firstOffset {
		return Page{}, nil, ErrTrimmed
	}
	page := Page{
		Next: p.end(),
		End:  p.end(),
	}
	if from < p.end() {
		page.Records = slices.Clone(p.records[from-p.firstOffset:])
	}
	return page, p.changed, nil
}

// Newest implements Store.
func (m *Memory) Newest(ctx context.Context, id Partition, after string) (NewestPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refusal(ctx); err != nil {
		return NewestPage{}, err
	}
	p := m.partition(id)
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
	if len(page.Records) > maxNewestPage {
		page.Records = page.Records[:maxNewestPage]
		page.More = true
	}
	return page, nil
}

// Join implements Store.
func (m *Memory) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Assignment, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refusal(ctx); err != nil {
		return Assignment{}, err
	}
	g := m.group(group)
	now := m.clock.Now()
	m.expire(g, now)
	current := g.members[member]
	if current == nil {
		current = &memoryMember{}
		g.members[member] = current
		g.generation++
	}
	current.topics = topics
	current.expiresAt = now.Add(ttl)
	current.seenGeneration = generation
	targets := m.assignPartitions(g)
	assignment := Assignment{
		Generation: g.generation,
	}
	for part, owner := range g.owners {
		if owner == member && targets[part] == member {
			assignment.Partitions = append(assignment.Partitions, part)
		}
	}
	return assignment, nil
}

// Leave implements Store.
func (m *Memory) Leave(ctx context.Context, group, member string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refusal(ctx); err != nil {
		return err
	}
	g := m.group(group)
	if _, found := g.members[member]; found {
		delete(g.members, member)
		g.generation++
		m.assignPartitions(g)
	}
	return nil
}

// Revoke removes all members of a group together with their partitions, as the
// users' store does at times. Members must join again to get partitions.
func (m *Memory) Revoke(group string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	clear(g.owners)
	clear(g.members)
	g.generation++
}

// Owners implements Store.
func (m *Memory) Owners(ctx context.Context, group string) ([]Ownership, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refusal(ctx); err != nil {
		return nil, err
	}
	g := m.group(group)
	m.expire(g, m.clock.Now())
	m.assignPartitions(g)
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
		if now.After(member.expiresAt) {
			delete(g.members, name)
			g.generation++
		}
	}
}

// assignPartitions distributes the partitions evenly over the members, in the
// order of their names, and returns the member that each belongs to by the current
// generation. A partition moves to another member only once its owner has seen that
// generation or is no longer in the group. Until then it is listed to nobody, so that only one
// member is listed a partition in a generation.
func (m *Memory) assignPartitions(g *memoryGroup) map[Partition]string {
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
	targets := make(map[Partition]string)
	if len(names) == 0 {
		return targets
	}
	for topic := range topics {
		for number := range m.partitionsPerTopic {
			part := Partition{
				Topic:  topic,
				Number: number,
			}
			assignee := names[number%len(names)]
			targets[part] = assignee
			owner, owned := g.owners[part]
			if !owned || owner == assignee || g.members[owner].seenGeneration >= g.generation {
				g.owners[part] = assignee
			}
		}
	}
	return targets
}

func (m *Memory) partition(id Partition) *memoryPartition {
	p := m.parts[id]
	if p == nil {
		p = &memoryPartition{
			changed: make(chan struct{}),
			newest:  make(map[string]Record),
			writers: make(map[string]*memoryWriter),
		}
		m.parts[id] = p
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
	return p.firstOffset + int64(len(p.records))
}
