package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// store serves the platform's store over HTTP, as PROTOCOL.md describes it. The records are
// kept by the project's own storer.Memory.
type store struct {
	memory  *storer.Memory
	address string
	// lostUntil and lateUntil are the times until which a share of the writes is done and not
	// answered, at once or some seconds later. downUntil is the time until which nothing is answered.
	lostUntil, lateUntil, downUntil atomic.Int64
}

func newStore() (*store, error) {
	s := &store{memory: storer.NewMemory(timekeeper.System())}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go http.Serve(listener, s)
	return s, nil
}

// put appends one keyed record, as the operator and the minions do.
func (s *store) put(topic, key string, value any) error {
	record := storer.Record{Key: key}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		record.Value = data
	}
	_, err := s.memory.Append(nil, storer.Partition{Topic: topic}, nil, record)
	return err
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now().UnixNano()
	if now < s.downUntil.Load() {
		time.Sleep(min(3*time.Second, time.Duration(s.downUntil.Load()-now)))
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, "/log-append") && rand.Float64() < 0.35 {
		late := now < s.lateUntil.Load()
		if late || now < s.lostUntil.Load() {
			body, _ := io.ReadAll(r.Body)
			again := r.Clone(context.Background())
			again.Body = io.NopCloser(bytes.NewReader(body))
			go func() {
				if late {
					time.Sleep(time.Second + rand.N(5*time.Second))
				}
				s.serve(discard{}, again)
			}()
			time.Sleep(4 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	s.serve(w, r)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	partition := storer.Partition{
		Topic:  strings.TrimPrefix(query.Get("topic"), "keyed."),
		Number: number,
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.append(w, r, partition)
	case "GET /-/log-read":
		s.read(w, r, partition)
	case "GET /-/log-newest":
		page, err := s.memory.Newest(r.Context(), partition, query.Get("depends_on"))
		items := []map[string]any{}
		for _, record := range page.Records {
			items = append(items, map[string]any{"key": record.Key, "value": record.Value, "offset": record.Offset})
		}
		reply(w, err, map[string]any{"items": items, "has_more": page.More, "end_offset": page.End})
	case "POST /-/log-join":
		var call struct {
			Group      string   `json:"group"`
			MemberID   string   `json:"member_id"`
			TopicList  []string `json:"topic_list"`
			TTL        int64    `json:"ttl_ms"`
			Generation int64    `json:"generation"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		got, err := s.memory.Join(r.Context(), call.Group, call.MemberID, call.TopicList, time.Duration(call.TTL)*time.Millisecond, call.Generation)
		parts := [][]any{}
		for _, p := range got.Partitions {
			parts = append(parts, []any{p.Topic, p.Number, 0})
		}
		reply(w, err, map[string]any{"generation": got.Generation, "parts": parts})
	case "POST /-/log-leave":
		var call struct {
			Group    string `json:"group"`
			MemberID string `json:"member_id"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply(w, s.memory.Leave(r.Context(), call.Group, call.MemberID), map[string]any{})
	case "GET /-/log-owners":
		owners, err := s.memory.Owners(r.Context(), query.Get("group"))
		rows := [][]any{}
		for _, o := range owners {
			rows = append(rows, []any{o.Partition.Topic, o.Partition.Number, o.Member, 0})
		}
		reply(w, err, map[string]any{"parts": rows})
	default:
		http.NotFound(w, r)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, partition storer.Partition) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storer.Record
	for len(body) > 4 {
		length := binary.BigEndian.Uint32(body)
		content := body[4 : 4+length]
		keyEnd := 1 + int(content[0])
		record := storer.Record{Key: string(content[1:keyEnd])}
		if len(content) > keyEnd {
			record.Value = content[keyEnd:]
		}
		records = append(records, record)
		body = body[4+length:]
	}
	query := r.URL.Query()
	var end int64
	if query.Has("at") {
		at, _ := strconv.ParseInt(query.Get("at"), 10, 64)
		end, err = s.memory.AppendAt(r.Context(), partition, at, records...)
		if errors.Is(err, storer.ErrConflict) {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	} else {
		var writer *storer.Writer
		if query.Has("producer") {
			epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
			sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
			writer = &storer.Writer{Name: query.Get("producer"), Epoch: epoch, Sequence: sequence}
		}
		end, err = s.memory.Append(r.Context(), partition, writer, records...)
	}
	// A partition takes append_ms for each append.
	time.Sleep(2 * time.Millisecond)
	reply(w, err, map[string]any{"offset": end - int64(len(records)), "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, partition storer.Partition) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	page, err := s.memory.Read(r.Context(), partition, from, time.Duration(wait)*time.Millisecond)
	if err != nil {
		reply(w, err, map[string]any{"start_offset": 0})
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
	w.Write(body)
}

// reply writes the body, or the status that corresponds to err.
func reply(w http.ResponseWriter, err error, body any) {
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.Is(err, storer.ErrFenced):
		status, body = http.StatusConflict, map[string]any{"reason": "fenced"}
	case errors.Is(err, storer.ErrConflict):
		status, body = http.StatusConflict, map[string]any{"reason": "seq"}
	case errors.Is(err, storer.ErrTrimmed):
		status = http.StatusGone
	default:
		status = http.StatusServiceUnavailable
	}
	data, _ := json.Marshal(body)
	w.WriteHeader(status)
	w.Write(data)
}
