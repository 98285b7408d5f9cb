package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/galenacove/galenacove/storer"
)

// disturbance is what the store does to some calls instead of answering them.
type disturbance struct {
	affects func(entry string, call storeCall) bool
	// probability is the share of the calls that are affected.
	probability float64
	// status is answered, with nothing done, unless it is 0.
	status int
	// silent: the call is not carried out and gets no answer until the end. reset: its
	// connection is broken.
	silent, reset bool
	// lost: the call is carried out and gets no answer.
	lost bool
	// late is the time after which the call is carried out. It gets no answer.
	late time.Duration
	// slow delays the call.
	slow time.Duration
	over chan struct{}
}

// weather holds the disturbances of the store that go on.
type weather struct {
	mu     sync.Mutex
	active []*disturbance
	// trimmed holds the first offset that the store still has of each partition.
	trimmed map[storer.Partition]int64
	seen    map[storer.Partition]bool
	// workersOut is set while the workers cannot write to the store.
	workersOut bool
}

func newWeather() *weather {
	return &weather{
		trimmed: make(map[storer.Partition]int64),
		seen:    make(map[storer.Partition]bool),
	}
}

func (w *weather) begin(d *disturbance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.over = make(chan struct{})
	w.active = append(w.active, d)
}

func (w *weather) end(d *disturbance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.active {
		if other == d {
			w.active = append(w.active[:i:i], w.active[i+1:]...)
			close(d.over)
			return
		}
	}
}

// of returns the disturbances of a call.
func (w *weather) of(entry string, call storeCall) []*disturbance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*disturbance
	for _, d := range w.active {
		if d.affects(entry, call) && rand.Float64() < d.probability {
			found = append(found, d)
		}
	}
	return found
}

// forget has the store forget the history of all partitions.
func (w *weather) forget(st *store) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for partition := range w.seen {
		page, err := st.memory.Newest(context.Background(), partition, "\xff")
		if err != nil {
			continue
		}
		st.memory.Trim(partition, page.End)
		w.trimmed[partition] = page.End
	}
}

// uplink is the way of one entry to the store. The entry sees addresses as the network
// gives them.
type uplink struct {
	store   *store
	weather *weather
	network *network
	ledger  *ledger
	entry   string
	addr    string
}

func newUplink(st *store, w *weather, n *network, l *ledger, entry string) *uplink {
	u := &uplink{
		store:   st,
		weather: w,
		network: n,
		ledger:  l,
		entry:   entry,
	}
	u.addr = serve("127.0.0.1", u)
	return u
}

func (u *uplink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	partition := partitionOf(r)
	call := storeCall{
		Path:  r.URL.Path,
		Topic: partition.Topic,
		Part:  partition.Number,
	}
	noAnswer := false
	for _, d := range u.weather.of(u.entry, call) {
		switch {
		case d.slow > 0:
			time.Sleep(d.slow/2 + rand.N(d.slow))
		case d.silent:
			awaitEnd(r, d)
			panic(http.ErrAbortHandler)
		case d.reset:
			panic(http.ErrAbortHandler)
		case d.status != 0:
			time.Sleep(storeDelay)
			w.WriteHeader(d.status)
			return
		case d.late > 0 && r.Method == http.MethodPost:
			u.network.background.Go(func() error {
				time.Sleep(d.late/2 + rand.N(d.late))
				u.carryOut(httptest.NewRecorder(), r, body, partition)
				return nil
			})
			panic(http.ErrAbortHandler)
		case d.lost:
			noAnswer = true
		}
	}
	answer := httptest.NewRecorder()
	u.carryOut(answer, r, body, partition)
	if noAnswer {
		panic(http.ErrAbortHandler)
	}
	// A long read that was sent before an outage is not answered in it.
	for _, d := range u.weather.of(u.entry, call) {
		if d.silent {
			awaitEnd(r, d)
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func awaitEnd(r *http.Request, d *disturbance) {
	select {
	case <-d.over:
	case <-r.Context().Done():
	}
}

// carryOut makes the call, and translates the addresses in records.
func (u *uplink) carryOut(w *httptest.ResponseRecorder, r *http.Request, body []byte, partition storer.Partition) {
	ctx := r.Context()
	switch r.URL.Path {
	case "/-/log-read":
		u.read(w, r, partition)
		return
	case "/-/log-newest":
		u.newest(w, r, partition)
		return
	case "/-/log-append":
		u.weather.mu.Lock()
		u.weather.seen[partition] = true
		u.weather.mu.Unlock()
		// An append that has arrived is carried out whoever waits for its answer.
		ctx = context.WithoutCancel(ctx)
		records := decodeRecords(body)
		for i := range records {
			if records[i].Value != nil {
				records[i].Value = u.network.outbound(records[i].Value)
			}
		}
		body = encodeRecords(records)
		inner := r.Clone(ctx)
		inner.Body = io.NopCloser(bytes.NewReader(body))
		u.store.ServeHTTP(w, inner)
		if w.Code == http.StatusOK {
			for _, record := range records {
				u.ledger.stored(partition.Topic, record.Key, record.Value == nil)
			}
		}
		return
	}
	inner := r.Clone(ctx)
	inner.Body = io.NopCloser(bytes.NewReader(body))
	u.store.ServeHTTP(w, inner)
	if r.URL.Path == "/-/log-owners" {
		translated := u.network.inbound(u.entry, w.Body.Bytes())
		w.Body = bytes.NewBuffer(translated)
	}
}

func encodeRecords(records []storer.Record) []byte {
	var body []byte
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(body, byte(len(record.Key)))
		body = append(body, record.Key...)
		body = append(body, record.Value...)
	}
	return body
}

func (u *uplink) read(w http.ResponseWriter, r *http.Request, partition storer.Partition) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	time.Sleep(storeDelay)
	page, err := u.store.memory.Read(r.Context(), partition, from, time.Duration(wait)*time.Millisecond)
	u.weather.mu.Lock()
	first := u.weather.trimmed[partition]
	u.weather.mu.Unlock()
	if errors.Is(err, storer.ErrTrimmed) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]any{"start_offset": first})
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for i := range page.Records {
		if page.Records[i].Value != nil {
			page.Records[i].Value = u.network.inbound(u.entry, page.Records[i].Value)
		}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.End))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	_, _ = w.Write(append(body, encodeRecords(page.Records)...))
}

func (u *uplink) newest(w http.ResponseWriter, r *http.Request, partition storer.Partition) {
	time.Sleep(storeDelay)
	page, err := u.store.memory.Newest(r.Context(), partition, r.URL.Query().Get("depends_on"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := make([]item, 0, len(page.Records))
	for _, record := range page.Records {
		items = append(items, item{
			Key:    record.Key,
			Value:  u.network.inbound(u.entry, record.Value),
			Offset: record.Offset,
		})
	}
	u.store.answer(w, err, map[string]any{"items": items, "has_more": page.More, "end_offset": page.End})
}

// setWorkersOut has the store turn the workers away, or serve them again.
func (w *weather) setWorkersOut(out bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workersOut = out
}

func (w *weather) shutsOutWorkers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workersOut
}
