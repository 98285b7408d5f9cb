package requester

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that is told from longer ones.
	maxLatency = time.Hour
	// precision is in significant decimal digits.
	precision = 3
)

// Outcome says what became of a request.
type Outcome string

// The outcomes.
const (
	// Done is the answer to the request, whole.
	Done Outcome = "done"
	// Refused is a refusal that says that the request was not run.
	Refused Outcome = "refused"
	// Failed is a failure, also of the minion.
	Failed Outcome = "failed"
	// Unknown is an answer that says that the outcome is unknown.
	Unknown Outcome = "unknown"
	// NoAnswer is a connection that broke or an answer that was cut.
	NoAnswer Outcome = "noAnswer"
	// Wrong is an answer with the bytes of another request, or none at all. It
	// must never be.
	Wrong Outcome = "wrong"
	// NotSent is a request that was due when too many were on their way.
	NotSent Outcome = "notSent"
)

// outcomes is the order in which they are shown.
func outcomes() []Outcome {
	return []Outcome{Done, Refused, Failed, Unknown, NoAnswer, Wrong, NotSent}
}

// Report is what became of a load.
type Report struct {
	// counts add up to the requests that were due.
	counts map[Outcome]int
	// reasons counts the outcomes by what the answer gave as the reason.
	reasons map[string]int
	// latencies are in microseconds from when requests were due.
	latencies map[Outcome]*hdrhistogram.Histogram
	took      time.Duration
}

func newReport() Report {
	return Report{
		counts:    make(map[Outcome]int),
		reasons:   make(map[string]int),
		latencies: make(map[Outcome]*hdrhistogram.Histogram),
	}
}

func (r *Report) note(outcome Outcome, reason string, latency time.Duration) {
	r.counts[outcome]++
	if reason != "" {
		r.reasons[string(outcome)+": "+reason]++
	}
	if outcome == NotSent {
		return
	}
	histogram := r.latencies[outcome]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), precision)
		r.latencies[outcome] = histogram
	}
	// A latency over the longest is counted as the longest.
	_ = histogram.RecordValue(min(max(1, latency.Microseconds()), maxLatency.Microseconds()))
}

// Count returns how many requests had the outcome.
func (r Report) Count(outcome Outcome) int { return r.counts[outcome] }

// Due returns how many requests were due.
func (r Report) Due() int {
	due := 0
	for _, count := range r.counts {
		due += count
	}
	return due
}

// Took returns the time from the first request to the last answer.
func (r Report) Took() time.Duration { return r.took }

// Latency returns the latency of the requests with the outcome at a quantile
// from 0 to 1, zero if there are none.
func (r Report) Latency(outcome Outcome, quantile float64) time.Duration {
	histogram := r.latencies[outcome]
	if histogram == nil {
		return 0
	}
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(quantile*percent)) * time.Microsecond
}

// outcomeReport is one line of a report. Its times are in milliseconds.
type outcomeReport struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
	P50     float64 `json:"p50Milliseconds"`
	P95     float64 `json:"p95Milliseconds"`
	P99     float64 `json:"p99Milliseconds"`
	Most    float64 `json:"mostMilliseconds"`
}

func (r Report) lines() []outcomeReport {
	var lines []outcomeReport
	for _, outcome := range outcomes() {
		if r.counts[outcome] == 0 {
			continue
		}
		lines = append(lines, outcomeReport{
			Outcome: outcome,
			Count:   r.counts[outcome],
			P50:     milliseconds(r.Latency(outcome, 0.5)),
			P95:     milliseconds(r.Latency(outcome, 0.95)),
			P99:     milliseconds(r.Latency(outcome, 0.99)),
			Most:    milliseconds(r.Latency(outcome, 1)),
		})
	}
	return lines
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(struct {
		Due      int             `json:"due"`
		Took     float64         `json:"tookSeconds"`
		Outcomes []outcomeReport `json:"outcomes"`
		Reasons  map[string]int  `json:"reasons"`
	}{
		Due:      r.Due(),
		Took:     r.took.Seconds(),
		Outcomes: r.lines(),
		Reasons:  r.reasons,
	})
}

// WriteTable writes the report for people. Times are in milliseconds.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "outcome\tcount\tp50 ms\tp95 ms\tp99 ms\tmost ms\t")
	for _, line := range r.lines() {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", line.Outcome, line.Count, line.P50, line.P95, line.P99, line.Most)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d due in %s%s\n", r.Due(), r.took.Round(time.Millisecond), r.reasonText())
	return err
}

func (r Report) reasonText() string {
	var texts []string
	for reason, count := range r.reasons {
		texts = append(texts, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(texts)
	if len(texts) == 0 {
		return ""
	}
	return "; " + strings.Join(texts, ", ")
}
