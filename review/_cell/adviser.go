package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// The figures of a queue's recommendation.
const (
	decisionTime = 50 * time.Millisecond
	perWorker    = 2 * time.Millisecond
	validityTime = 3 * time.Second
)

// adviser is the service at recommendation in the settings. It approves all workers.
type adviser struct {
	cell    *cell
	address string
	server  *http.Server
	// turn is held while a call is served. All entries of a cell call from one machine here, so
	// the calls of different entries wait for each other too.
	turn sync.Mutex
}

func newAdviser(c *cell) (*adviser, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviser{cell: c, address: listener.Addr().String()}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(listener)
	return a, nil
}

func ticketFor(id string) string { return "ticket-" + id }

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		StepID  string   `json:"step_id"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(decisionTime + time.Duration(len(call.Workers))*perWorker)
	a.turn.Unlock()
	approved := [][]any{}
	for _, id := range call.Workers {
		approved = append(approved, []any{id, ticketFor(id)})
	}
	a.cell.record("the adviser at %s answers for the step %s", a.address, call.StepID)
	data, _ := json.Marshal(map[string]any{"approved": approved, "validity_ms": validityTime.Milliseconds()})
	w.Write(data)
}
