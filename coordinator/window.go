package coordinator

const (
	// maxPromptWait is how long a call may wait behind those of other owners, as a
	// fraction of its cost, and still count as prompt: half of the wait behind one
	// call of the same length.
	maxPromptWait = 0.5
	// windowIncrement is added to the window for each prompt call through an entry
	// of another owner's segment: a window of n grows to at most 1.5 n in the time
	// of one call. windowBackoff multiplies the window for each call through such
	// an entry that was not prompt.
	windowIncrement = 0.5
	windowBackoff   = 0.7
	// windowProbeIncrement is added for each prompt call through an entry of the
	// owner's own segment, so that an owner whose window has shrunk to 0 tries
	// entries of other owners now and then.
	windowProbeIncrement = 0.125
)

// window is the number of long calls for advice that an owner may have under way
// beyond its share. The adviser does not report its load, so the window grows while
// calls are answered without waiting behind those of other owners, and shrinks
// while they are not.
type window struct {
	// adjusted is set once callEnded has been called. Before that, the window has
	// its initial size.
	adjusted bool
	// extra is the size of the window. It is at least 0, and at most the number of
	// entries for long calls when the last call ended.
	extra float64
}

// callEnded adjusts the window after a call. A call is prompt if it did not wait
// long behind those of other owners, and foreign if an entry of another owner's
// segment made it. If a call through an entry of the own segment is not prompt,
// the window of another owner is too large, so the window of this owner stays as it
// is. The size is at most limit.
func (w *window) callEnded(prompt, foreign bool, initial, limit int) {
	if !w.adjusted {
		w.adjusted = true
		w.extra = float64(initial)
	}
	switch {
	case prompt && foreign:
		w.extra += windowIncrement
	case prompt:
		w.extra += windowProbeIncrement
	case foreign:
		w.extra *= windowBackoff
	}
	w.extra = min(float64(limit), w.extra)
}

// size returns the number of calls beyond its share that an owner may have under
// way.
func (w *window) size(initial int) int {
	if !w.adjusted {
		return initial
	}
	return int(w.extra)
}
