package replayer

// boundedMap is a map of at most limit entries. It evicts the entry that was put
// least recently.
type boundedMap[V any] struct {
	limit int
	// values has exactly the keys of order[head:].
	values map[string]V
	// order holds the keys from index head on, the most recently put last. The
	// indexes below head are of evicted keys.
	order []string
	head  int
}

func newBoundedMap[V any](limit int) *boundedMap[V] {
	return &boundedMap[V]{
		limit:  limit,
		values: make(map[string]V),
	}
}

func (w *boundedMap[V]) get(key string) (V, bool) {
	v, ok := w.values[key]
	return v, ok
}

// put stores the value as the most recent. An existing key moves to the end.
func (w *boundedMap[V]) put(key string, value V) {
	if _, ok := w.values[key]; ok {
		w.remove(key)
	}
	w.values[key] = value
	w.order = append(w.order, key)
	for len(w.values) > w.limit {
		delete(w.values, w.order[w.head])
		w.order[w.head] = ""
		w.head++
	}
	w.compact()
}

// remove deletes the key. It takes time linear in the number of entries.
func (w *boundedMap[V]) remove(key string) {
	if _, ok := w.values[key]; !ok {
		return
	}
	delete(w.values, key)
	kept := w.order[:w.head]
	for _, k := range w.order[w.head:] {
		if k != key {
			kept = append(kept, k)
		}
	}
	w.order = kept
}

// compact frees the memory of evicted keys once there are more than limit.
func (w *boundedMap[V]) compact() {
	if w.head <= w.limit {
		return
	}
	w.order = append([]string(nil), w.order[w.head:]...)
	w.head = 0
}

// keys returns the keys, the most recently put last.
func (w *boundedMap[V]) keys() []string {
	return w.order[w.head:]
}
