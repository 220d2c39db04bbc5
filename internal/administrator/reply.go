package administrator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// ReplyError is the JSON body of a refused request.
type ReplyError struct {
	Code      classifier.Code      `json:"code"`
	Subject   string               `json:"subject,omitempty"`
	Field     string               `json:"field,omitempty"`
	Reason    string               `json:"reason"`
	Operation string               `json:"operation,omitempty"` // id under which the node submitted the apply
	Conflicts []publisher.Conflict `json:"conflicts,omitempty"` // edits of sources that changed since the base revision
	Problems  []compiler.Problem   `json:"problems,omitempty"`  // reasons why the change does not compile
}

// Error formats the error on one line.
func (f *ReplyError) Error() string {
	return f.Unwrap().Error()
}

// Unwrap returns the error as a *classifier.Error.
func (f *ReplyError) Unwrap() error {
	return &classifier.Error{Code: f.Code, Subject: f.Subject, Field: f.Field, Reason: f.Reason}
}

// replyErrorOf converts an error to a reply body. An error without a result code gets CodeBadRequest.
func replyErrorOf(err error) ReplyError {
	var reply *ReplyError
	if errors.As(err, &reply) {
		return *reply
	}
	var refused *publisher.RefusedError
	if errors.As(err, &refused) {
		refusal := refused.Refusal
		return ReplyError{
			Code: refusal.Code, Subject: refusal.Subject, Field: refusal.Field, Reason: refusal.Reason,
			Operation: refusal.Operation, Conflicts: refusal.Conflicts, Problems: refusal.Problems,
		}
	}
	var coded *classifier.Error
	if errors.As(err, &coded) {
		return ReplyError{Code: coded.Code, Subject: coded.Subject, Field: coded.Field, Reason: coded.Reason}
	}
	return ReplyError{Code: codeOf(err), Reason: err.Error()}
}

// httpStatuses maps result codes to HTTP status codes. Other result codes are sent with status 422.
var httpStatuses = map[classifier.Code]int{
	classifier.CodeEditConflict:   http.StatusConflict,
	classifier.CodeEditNotInForce: http.StatusAccepted,
	classifier.CodeVersionMissing: http.StatusNotFound,
	classifier.CodeNotReady:       http.StatusServiceUnavailable,
	classifier.CodeDraining:       http.StatusServiceUnavailable,
	classifier.CodeTokenMissing:   http.StatusUnauthorized,
	classifier.CodeTokenScope:     http.StatusForbidden,
	classifier.CodeBadRequest:     http.StatusBadRequest,
	classifier.CodeObjectMissing:  http.StatusNotFound,
	classifier.CodeConflict:       http.StatusConflict,
	classifier.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	classifier.CodeRateLimited:    http.StatusTooManyRequests,
	classifier.CodeUnavailable:    http.StatusServiceUnavailable,
	classifier.CodePlatformReply:  http.StatusBadGateway,
}

func writeError(w http.ResponseWriter, reply ReplyError) {
	status, ok := httpStatuses[reply.Code]
	if !ok {
		status = http.StatusUnprocessableEntity
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, reply)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status line is already sent, so an error cannot be reported
}
