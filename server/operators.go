package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/parser"
)

const (
	// maxStatement is in bytes.
	maxStatement = 1 << 20
	// commandTimeout bounds a command, and queryTimeout a query.
	commandTimeout = 20 * time.Second
	queryTimeout   = 3 * time.Second
)

// operatorHandler serves a request of a known operator.
type operatorHandler func(w http.ResponseWriter, req *http.Request, who asker)

// authorized lets known operators through.
func (s *Server) authorized(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		token, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		operator, known := s.operator(token)
		if !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, commander.Problem{
				Message: "no operator has this token",
			})
			return
		}
		next(w, req, asker{
			operator: operator,
			from:     req.RemoteAddr,
		})
	}
}

// operator returns who has the token. Every token is compared, each in
// constant time.
func (s *Server) operator(token string) (string, bool) {
	given := sha256.Sum256([]byte(token))
	var operator string
	known := 0
	for candidate, name := range s.settings.tokens {
		want := sha256.Sum256([]byte(candidate))
		if subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
			operator = name
			known = 1
		}
	}
	return operator, known == 1
}

// do runs one statement.
func (s *Server) do(w http.ResponseWriter, req *http.Request, who asker) {
	var ask commander.Ask
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxStatement)).Decode(&ask); err != nil {
		writeJSON(w, http.StatusBadRequest, commander.Problem{
			Message: "the request is no JSON object with a statement: " + err.Error(),
		})
		return
	}
	statement, err := parser.Parse(ask.Statement)
	if err != nil {
		writeProblem(w, err)
		return
	}
	command, isCommand := statement.(parser.Command)
	if isCommand {
		result := s.run(req.Context(), who, ask.Statement, command)
		writeJSON(w, http.StatusOK, commander.Answer{
			Command: &result,
		})
		return
	}
	table, err := s.query(req.Context(), statement)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, commander.Answer{
		Table: &table,
	})
}

// writeProblem writes a fault of the statement, with its place where it has
// one.
func writeProblem(w http.ResponseWriter, err error) {
	problem := commander.Problem{
		Message: err.Error(),
	}
	var fault *parser.Error
	if errors.As(err, &fault) {
		problem.Line = fault.Pos().Line()
		problem.Column = fault.Pos().Column()
	}
	writeJSON(w, http.StatusBadRequest, problem)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator who has gone away is told nothing more.
	_ = json.NewEncoder(w).Encode(value)
}
