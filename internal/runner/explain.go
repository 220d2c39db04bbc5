package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
)

// maxQuestionBytes bounds the body of a question to explain.
const maxQuestionBytes = 64 << 10

// Question asks where a request would go.
type Question struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
}

// explain answers a question of the operator. It sends nothing and logs no key.
func (n *Hosted) explain(w http.ResponseWriter, r *http.Request) {
	if !administrator.IsOperator(r, n.settings.Operator) {
		n.logger.Warn("node: explanation refused", zap.String("address", r.RemoteAddr))
		writeJSON(w, http.StatusUnauthorized, classifier.New(classifier.CodeTokenMissing, "explain",
			"the operator's token is needed; the setting operator holds its digest"))
		return
	}
	var question Question
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxQuestionBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&question); err != nil {
		writeJSON(w, http.StatusBadRequest, classifier.Wrap(classifier.CodeBadRequest, "explain", err))
		return
	}
	request, err := question.request()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, err)
		return
	}
	writeJSON(w, http.StatusOK, n.entry.Explain(request))
}

// request returns the request that a question is about.
func (q *Question) request() (*http.Request, error) {
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") || q.Method == "" || q.Host == "" {
		return nil, classifier.New(classifier.CodeBadRequest, "explain", "a method, a host and a path are needed")
	}
	request := &http.Request{
		Method: q.Method, URL: target, RequestURI: q.Path, Host: q.Host, Header: make(http.Header), Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if q.Key != "" {
		request.Header.Set(forwarder.HeaderKey, q.Key)
	}
	return request, nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
