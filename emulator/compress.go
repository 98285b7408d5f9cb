package emulator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
)

// leastCompressed is the least length in bytes of an answer that is compressed.
const leastCompressed = 32 << 10

// writeJSON answers with the value, compressed if it is long and the caller
// takes it so.
func writeJSON(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(data) >= leastCompressed && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		data = compress(data)
	}
	// An error here is a caller that has gone.
	_, _ = w.Write(data)
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	// The level is valid, and a buffer takes it all.
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}
