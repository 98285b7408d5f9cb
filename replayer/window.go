package replayer

// window is a map that forgets the entries that were put first once it holds
// more than limit.
type window[V any] struct {
	limit int
	// values has the keys of order, and no others.
	values map[string]V
	// order holds the keys as they were put, the latest last, from head on.
	order []string
	head  int
}

func newWindow[V any](limit int) *window[V] {
	return &window[V]{
		limit:  limit,
		values: make(map[string]V),
	}
}

func (w *window[V]) get(key string) (V, bool) {
	v, ok := w.values[key]
	return v, ok
}

// put adds the entry as the latest. A key that is there is moved.
func (w *window[V]) put(key string, value V) {
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

// remove takes the entry out. It costs as much as the window is long.
func (w *window[V]) remove(key string) {
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

// compact gives back the room of forgotten keys.
func (w *window[V]) compact() {
	if w.head <= w.limit {
		return
	}
	w.order = append([]string(nil), w.order[w.head:]...)
	w.head = 0
}

// keys returns the keys, the latest last.
func (w *window[V]) keys() []string {
	return w.order[w.head:]
}
