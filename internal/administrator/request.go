package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// maxBodyBytes bounds a request body. A set of edits is stored in one platform value of at most 1 MB; the rest is JSON
// overhead.
const maxBodyBytes = 1<<20 + 64<<10

// decodeBody decodes a JSON body. It refuses unknown fields, a second value and bodies over maxBodyBytes.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		if _, trailing := decoder.Token(); errors.Is(trailing, io.EOF) {
			return nil
		}
		return badRequest("body", "the body has more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return classifier.New(classifier.CodeTooLarge, "body", "the body is over %d bytes", tooLarge.Limit)
	}
	return badRequest("body", err.Error())
}

// checkQuery refuses repeated query parameters and those that the endpoint does not accept.
func checkQuery(query url.Values, accepted ...string) error {
	for name, values := range query {
		if len(values) != 1 {
			return badRequest(name, "the query has the parameter twice")
		}
		found := false
		for _, allowed := range accepted {
			found = found || allowed == name
		}
		if !found {
			return badRequest(name, "the query has an unknown parameter")
		}
	}
	return nil
}

// queryNumber parses a query parameter as a whole number up to limit. It returns fallback if the parameter is absent.
func queryNumber(query url.Values, name string, fallback, limit uint64) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value > limit {
		return 0, badRequest(name, fmt.Sprintf("the value must be a whole number from 0 to %d", limit))
	}
	return value, nil
}

func badRequest(field, reason string) error {
	return &classifier.Error{Code: classifier.CodeBadRequest, Subject: "request", Field: field, Reason: reason}
}
