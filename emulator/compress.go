package emulator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
)

// minCompressedSize is the size in bytes from which an answer is compressed.
const minCompressedSize = 32 << 10

// writeJSON answers with the value as JSON, compressed with gzip if it is at
// least minCompressedSize long and the request accepts gzip.
func writeJSON(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(data) >= minCompressedSize && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		data = compress(data)
	}
	// An error here means that the client has closed the connection.
	_, _ = w.Write(data)
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	// No errors: the level is valid, and writes to a buffer do not fail.
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}
