package conductor

import (
	"time"

	"github.com/apex/log"
)

// Knowledge tells how recent the sources are from which the owner gets its workers.
type Knowledge struct {
	Directory, Shards ReadState
}

// ReadState describes the last answered read of a source.
type ReadState struct {
	// AnsweredAt is the time of the answer, zero if there was none.
	AnsweredAt time.Time
	// Complete reports whether nothing was left to read then.
	Complete bool
}

// WithKnowledge sets the function that returns how recent the sources are from which the
// owner gets its workers, for the log. By default nothing is known of them.
func WithKnowledge(knowledge func() Knowledge) Option {
	return func(c *Conductor) {
		c.knowledge = knowledge
	}
}

// fields returns the log fields of a source. Without an answer there is no age.
func (s ReadState) fields(source string, now time.Time) log.Fields {
	fields := log.Fields{
		source + "Complete": s.Complete,
	}
	if !s.AnsweredAt.IsZero() {
		fields[source+"AgeMs"] = now.Sub(s.AnsweredAt).Milliseconds()
	}
	return fields
}
