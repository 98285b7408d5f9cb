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
	// maxStatementSize bounds the body of a request, in bytes.
	maxStatementSize = 1 << 20
	// commandTimeout bounds the commit of a command, and queryTimeout a query or
	// a call to a peer.
	commandTimeout = 20 * time.Second
	queryTimeout   = 3 * time.Second
)

// operatorHandler serves a request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, req *http.Request, origin requestOrigin)

// requireOperator authenticates the operator by the bearer token, and answers
// 401 if the token is unknown.
func (s *Server) requireOperator(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		token, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		operatorName, found := s.operatorName(token)
		if !found {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, commander.Problem{
				Message: "no operator has this token",
			})
			return
		}
		next(w, req, requestOrigin{
			operatorName: operatorName,
			remoteAddr:   req.RemoteAddr,
		})
	}
}

// operatorName returns the name of the operator who has the token. It compares
// with every known token, each in constant time, so that the duration does not
// depend on the token.
func (s *Server) operatorName(token string) (string, bool) {
	given := sha256.Sum256([]byte(token))
	var operatorName string
	found := 0
	for candidate, name := range s.settings.tokens {
		want := sha256.Sum256([]byte(candidate))
		if subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
			operatorName = name
			found = 1
		}
	}
	return operatorName, found == 1
}

// handleStatement runs one statement of the operators' language, a command or a
// query.
func (s *Server) handleStatement(w http.ResponseWriter, req *http.Request, origin requestOrigin) {
	var request commander.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxStatementSize)).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, commander.Problem{
			Message: "the request is no JSON object with a statement: " + err.Error(),
		})
		return
	}
	statement, err := parser.Parse(request.Statement)
	if err != nil {
		writeProblem(w, err)
		return
	}
	command, isCommand := statement.(parser.Command)
	if isCommand {
		result := s.runCommand(req.Context(), origin, request.Statement, command)
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

// writeProblem answers 400 with the error, and with its line and column in the
// statement if it has a position.
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
	// An error here means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
