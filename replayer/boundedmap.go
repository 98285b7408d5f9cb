package replayer

// boundedMap is a map of at most limit entries. It evicts the entry that was put
// least recently.
type boundedMap[V any] struct {
	limit int
	// values has exactly the keys of order[head:].
	values map[string]V
	// order holds the keys from index head on, the most recently put last. The
	// elements below head are empty: their keys were evicted.
	order []string
	head  int
}

func newBoundedMap[V any](limit int) *boundedMap[V] {
	return &boundedMap[V]{
		limit:  limit,
		values: make(map[string]V),
	}
}

func (m *boundedMap[V]) get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// put stores the value under the key, which becomes the most recently put one.
func (m *boundedMap[V]) put(key string, value V) {
	if _, ok := m.values[key]; ok {
		m.remove(key)
	}
	m.values[key] = value
	m.order = append(m.order, key)
	for len(m.values) > m.limit {
		delete(m.values, m.order[m.head])
		m.order[m.head] = ""
		m.head++
	}
	m.compact()
}

// remove deletes the key. It takes time linear in the number of entries.
func (m *boundedMap[V]) remove(key string) {
	if _, ok := m.values[key]; !ok {
		return
	}
	delete(m.values, key)
	kept := m.order[:m.head]
	for _, k := range m.order[m.head:] {
		if k != key {
			kept = append(kept, k)
		}
	}
	m.order = kept
}

// compact frees the elements of order below head once there are more than limit.
func (m *boundedMap[V]) compact() {
	if m.head <= m.limit {
		return
	}
	m.order = append([]string(nil), m.order[m.head:]...)
	m.head = 0
}

// keys returns the keys, the most recently put last.
func (m *boundedMap[V]) keys() []string {
	return m.order[m.head:]
}
