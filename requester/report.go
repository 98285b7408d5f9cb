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
	// maxLatency is the longest latency that is recorded; longer ones count as
	// this one.
	maxLatency = time.Hour
	// precision is that of the histograms, in significant decimal digits.
	precision = 3
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes.
const (
	// Done is the complete answer to the request.
	Done Outcome = "done"
	// Refused is a refusal which states that the request was not run.
	Refused Outcome = "refused"
	// Failed is an error answer, including one from the minion.
	Failed Outcome = "failed"
	// Unknown is an answer which states that the outcome is unknown.
	Unknown Outcome = "unknown"
	// NoAnswer is a broken connection or a truncated answer.
	NoAnswer Outcome = "noAnswer"
	// Wrong is a successful answer with other bytes than the request's own
	// answer. It must never occur.
	Wrong Outcome = "wrong"
	// NotSent is a request that was not sent because too many were in flight
	// when it was due.
	NotSent Outcome = "notSent"
)

// outcomes returns the outcomes in the order in which reports list them.
func outcomes() []Outcome {
	return []Outcome{Done, Refused, Failed, Unknown, NoAnswer, Wrong, NotSent}
}

// Report is the result of a load.
type Report struct {
	// counts add up to the requests that were due.
	counts map[Outcome]int
	// reasons counts the requests by outcome and reason, such as
	// "refused: queueFull".
	reasons map[string]int
	// latencies are in microseconds, measured from the time at which a request
	// was due.
	latencies map[Outcome]*hdrhistogram.Histogram
	elapsed   time.Duration
}

func newReport() Report {
	return Report{
		counts:    make(map[Outcome]int),
		reasons:   make(map[string]int),
		latencies: make(map[Outcome]*hdrhistogram.Histogram),
	}
}

func (r *Report) record(outcome Outcome, reason string, latency time.Duration) {
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
	// Latencies above maxLatency are recorded as maxLatency, so this cannot
	// fail.
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

// Took returns the time from the start of the load to the last answer.
func (r Report) Took() time.Duration { return r.elapsed }

// Latency returns the latency of the requests with the outcome at a quantile
// from 0 to 1, and 0 if there are no such requests.
func (r Report) Latency(outcome Outcome, quantile float64) time.Duration {
	histogram := r.latencies[outcome]
	if histogram == nil {
		return 0
	}
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(quantile*percent)) * time.Microsecond
}

// outcomeReport is the line of a report for one outcome. Its times are in
// milliseconds.
type outcomeReport struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
	P50     float64 `json:"p50Milliseconds"`
	P95     float64 `json:"p95Milliseconds"`
	P99     float64 `json:"p99Milliseconds"`
	Max     float64 `json:"mostMilliseconds"`
}

func (r Report) outcomeReports() []outcomeReport {
	var outcomeReports []outcomeReport
	for _, outcome := range outcomes() {
		if r.counts[outcome] == 0 {
			continue
		}
		outcomeReports = append(outcomeReports, outcomeReport{
			Outcome: outcome,
			Count:   r.counts[outcome],
			P50:     milliseconds(r.Latency(outcome, 0.5)),
			P95:     milliseconds(r.Latency(outcome, 0.95)),
			P99:     milliseconds(r.Latency(outcome, 0.99)),
			Max:     milliseconds(r.Latency(outcome, 1)),
		})
	}
	return outcomeReports
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
		Took:     r.elapsed.Seconds(),
		Outcomes: r.outcomeReports(),
		Reasons:  r.reasons,
	})
}

// WriteTable writes the report as aligned text. Times are in milliseconds.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "outcome\tcount\tp50 ms\tp95 ms\tp99 ms\tmost ms\t")
	for _, line := range r.outcomeReports() {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", line.Outcome, line.Count, line.P50, line.P95, line.P99, line.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d due in %s%s\n", r.Due(), r.elapsed.Round(time.Millisecond), r.reasonText())
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
