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

// maxBodyBytes bounds a request body. A set is one platform value of 1 MB, and its JSON form has some overhead.
const maxBodyBytes = 1<<20 + 64<<10

// decodeBody reads a JSON body and refuses unknown fields, a second value and bodies over the limit.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		if _, extra := decoder.Token(); errors.Is(extra, io.EOF) {
			return nil
		}
		return malformed("body", "the body has more than one JSON value")
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return classifier.New(classifier.CodeTooLarge, "body", "the body is over %d bytes", large.Limit)
	}
	return malformed("body", err.Error())
}

// checkQuery refuses query parameters that the endpoint does not know.
func checkQuery(query url.Values, known ...string) error {
	for name, values := range query {
		if len(values) != 1 {
			return malformed(name, "the query has the parameter twice")
		}
		found := false
		for _, other := range known {
			found = found || other == name
		}
		if !found {
			return malformed(name, "the query has an unknown parameter")
		}
	}
	return nil
}

// number reads a whole number from the query, or returns absent if it is not there.
func number(query url.Values, name string, absent, limit uint64) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return absent, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value > limit {
		return 0, malformed(name, fmt.Sprintf("the value must be a whole number from 0 to %d", limit))
	}
	return value, nil
}

func malformed(field, reason string) error {
	return &classifier.Error{Code: classifier.CodeBadRequest, Subject: "request", Field: field, Reason: reason}
}
