package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// storeCall describes a call to the store, for the faults of a case.
type storeCall struct {
	Path  string
	Topic string
	Part  int
	// Keys holds the keys of the records of an append.
	Keys []string
}

// storeFault is what happens to a call instead of its usual answer.
type storeFault struct {
	// Status is answered, with nothing done, unless it is 0.
	Status int
	// Late is the time after which the call is carried out. It gets no answer.
	Late time.Duration
}

// store is a stand-in for the platform's store: the HTTP interface of PROTOCOL.md. The
// records are kept by the project's own storer.Memory, the groups are in group.go.
type store struct {
	memory *storer.Memory
	rec    *recorder
	parts  int
	addr   string

	mu     sync.Mutex
	groups map[string]*memberGroup
	fault  func(storeCall) storeFault
	// owners holds the members that owned the partition of the last job record, and since
	// when.
	owners []ownedBy
	used   map[int]bool
}

type ownedBy struct {
	since time.Time
	name  string
}

// watchOwners follows who owns the partitions in which jobs were stored.
func (s *store) watchOwners() {
	for {
		time.Sleep(5 * time.Millisecond)
		holders := s.group("entries").owners()
		s.mu.Lock()
		name := ""
		for p, holder := range holders {
			if parts := strings.Split(holder, "/"); s.used[p] && len(parts) > 1 {
				name = parts[1]
			}
		}
		if len(s.owners) == 0 || s.owners[len(s.owners)-1].name != name {
			s.owners = append(s.owners, ownedBy{since: time.Now(), name: name})
			s.rec.printf("store: the partition of the jobs is dealt to %q", name)
		}
		s.mu.Unlock()
	}
}

// groupTopic is the one topic whose partitions the groups deal.
const groupTopic = "jobs"

// group returns the group, which it creates if needed.
func (s *store) group(name string) *memberGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups[name] == nil {
		s.groups[name] = newMemberGroup()
	}
	return s.groups[name]
}

// usedPartitions returns the partitions in which jobs were stored.
func (s *store) usedPartitions() map[int]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.used)
}

// ownerAt returns the entry to which the partition of the jobs was dealt at the time.
func (s *store) ownerAt(at time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := ""
	for _, o := range s.owners {
		if !o.since.After(at) {
			name = o.name
		}
	}
	return name
}

// storeDelay is the time that an answer takes, as on the sheets.
const storeDelay = 4 * time.Millisecond

func newStore(rec *recorder, parts int) *store {
	s := &store{
		memory: storer.NewMemory(timekeeper.System(), storer.Partitions(parts)),
		rec:    rec,
		parts:  parts,
		used:   make(map[int]bool),
		groups: make(map[string]*memberGroup),
	}
	go s.watchOwners()
	s.addr = serve("127.0.0.1", s)
	return s
}

// serve serves the handler on a free port and returns the address.
func serve(ip string, handler http.Handler) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// link is the way of one entry host to the store.
type link struct {
	store *store
	addr  string

	mu  sync.Mutex
	cut chan struct{}
}

// newLink returns a link with an address of its own.
func (s *store) newLink() *link {
	l := &link{store: s}
	l.addr = serve("127.0.0.1", l)
	return l
}

// setCut cuts the link, or heals it. While it is cut no call is answered.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut {
		l.cut = make(chan struct{})
		return
	}
	close(l.cut)
	l.cut = nil
}

// isCut returns a channel that is closed when the link heals, nil if it is not cut.
func (l *link) isCut() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if healed := l.isCut(); healed != nil {
		// The call does not arrive.
		select {
		case <-healed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, r)
	if healed := l.isCut(); healed != nil {
		// The answer does not arrive.
		select {
		case <-healed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// setFault sets what happens to calls. nil ends the disruption.
func (s *store) setFault(fault func(storeCall) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// put writes a record of the operator or of a minion.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode", err)
	}
	if value == nil {
		data = nil
	}
	_, _ = s.memory.Append(context.Background(), storer.Partition{Topic: topic}, nil, storer.Record{Key: key, Value: data})
}

func partitionOf(r *http.Request) storer.Partition {
	part, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return storer.Partition{
		Topic:  strings.TrimPrefix(r.URL.Query().Get("topic"), "keyed."),
		Number: part,
	}
}

// The limits of the settings for a record and for the records of one call.
const (
	recordBytes  = 262144
	requestBytes = 2097152
)

func tooLarge(records []storer.Record) bool {
	for _, record := range records {
		if 1+len(record.Key)+len(record.Value) > recordBytes {
			return true
		}
	}
	return false
}

func decodeRecords(body []byte) []storer.Record {
	var records []storer.Record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n == 0 {
			return records
		}
		record := body[:n]
		body = body[n:]
		end := 1 + int(record[0])
		if end > len(record) {
			continue
		}
		decoded := storer.Record{Key: string(record[1:end])}
		if len(record) > end {
			decoded.Value = append([]byte(nil), record[end:]...)
		}
		records = append(records, decoded)
	}
	return records
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	partition := partitionOf(r)
	call := storeCall{Path: r.URL.Path, Topic: partition.Topic, Part: partition.Number}
	var records []storer.Record
	if r.URL.Path == "/-/log-append" {
		records = decodeRecords(body)
		for _, record := range records {
			call.Keys = append(call.Keys, record.Key)
		}
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	var f storeFault
	if fault != nil {
		f = fault(call)
	}
	if f.Status != 0 {
		time.Sleep(storeDelay)
		w.WriteHeader(f.Status)
		return
	}
	if f.Late > 0 {
		go func() {
			time.Sleep(f.Late)
			s.append(r, partition, records, " (late)")
		}()
		// The connection returns nothing further.
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/-/log-append":
		if tooLarge(records) || len(body) > requestBytes {
			s.rec.limited("store: append of %d bytes to %s/%d rejected, a record has more than %d bytes or the call more than %d",
				len(body), partition.Topic, partition.Number, recordBytes, requestBytes)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(storeDelay / 2)
		end, err := s.append(r, partition, records, "")
		time.Sleep(storeDelay / 2)
		s.answer(w, err, map[string]any{"offset": end - int64(len(records)), "end_offset": end})
	case "/-/log-read":
		s.read(w, r, partition)
	case "/-/log-newest":
		s.newest(w, r, partition)
	case "/-/log-join", "/-/log-leave":
		s.join(w, r, body)
	case "/-/log-owners":
		time.Sleep(storeDelay)
		rows := [][]any{}
		for p, name := range s.group(r.URL.Query().Get("group")).owners() {
			if name != "" {
				rows = append(rows, []any{"keyed." + groupTopic, p, name, 0})
			}
		}
		s.answer(w, nil, rows)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(r *http.Request, partition storer.Partition, records []storer.Record, note string) (int64, error) {
	query := r.URL.Query()
	var end int64
	var err error
	switch {
	case query.Get("at") != "":
		at, _ := strconv.ParseInt(query.Get("at"), 10, 64)
		end, err = s.memory.AppendAt(r.Context(), partition, at, records...)
	case query.Get("producer") != "":
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
		end, err = s.memory.Append(r.Context(), partition, &storer.Writer{
			Name:     query.Get("producer"),
			Epoch:    epoch,
			Sequence: sequence,
		}, records...)
	default:
		end, err = s.memory.Append(r.Context(), partition, nil, records...)
	}
	if partition.Topic == "jobs" && len(records) > 0 {
		s.mu.Lock()
		s.used[partition.Number] = true
		s.mu.Unlock()
	}
	if partition.Topic == "jobs" || note != "" {
		for _, record := range records {
			what := "set"
			if record.Value == nil {
				what = "deleted"
			}
			s.rec.printf("store: %s/%d key %s %s%s%s", partition.Topic, partition.Number, record.Key, what, note, errText(err))
		}
	}
	return end, err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf(" (%v)", err)
}

func (s *store) answer(w http.ResponseWriter, err error, body any) {
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.Is(err, storer.ErrFenced):
		status, body = http.StatusConflict, map[string]any{"reason": "fenced"}
	case errors.Is(err, storer.ErrConflict):
		status, body = http.StatusPreconditionFailed, map[string]any{}
	default:
		status, body = http.StatusServiceUnavailable, map[string]any{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, partition storer.Partition) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	time.Sleep(storeDelay)
	page, err := s.memory.Read(r.Context(), partition, from, time.Duration(wait)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.End))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range page.Records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(body, byte(len(record.Key)))
		body = append(body, record.Key...)
		body = append(body, record.Value...)
	}
	_, _ = w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, partition storer.Partition) {
	time.Sleep(storeDelay)
	page, err := s.memory.Newest(r.Context(), partition, r.URL.Query().Get("depends_on"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := make([]item, 0, len(page.Records))
	for _, record := range page.Records {
		items = append(items, item{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	s.answer(w, err, map[string]any{"items": items, "has_more": page.More, "end_offset": page.End})
}

func (s *store) join(w http.ResponseWriter, r *http.Request, body []byte) {
	var request struct {
		Group      string   `json:"group"`
		MemberID   string   `json:"member_id"`
		TopicList  []string `json:"topic_list"`
		TTLMillis  int64    `json:"ttl_ms"`
		Generation int64    `json:"generation"`
	}
	_ = json.Unmarshal(body, &request)
	time.Sleep(storeDelay)
	group := s.group(request.Group)
	if r.URL.Path == "/-/log-leave" {
		group.leave(request.MemberID)
		s.answer(w, nil, map[string]any{})
		return
	}
	generation, parts := group.join(request.MemberID, time.Duration(request.TTLMillis)*time.Millisecond, request.Generation)
	rows := make([][]any, 0, len(parts))
	for _, p := range parts {
		rows = append(rows, []any{"keyed." + groupTopic, p, 0})
	}
	s.answer(w, nil, map[string]any{"generation": generation, "ttl_ms": request.TTLMillis, "parts": rows})
}
