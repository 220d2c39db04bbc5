package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Handler returns a handler that serves the object API of platform over the platform's HTTP protocol.
func Handler(platform connector.Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		snapshot, err := listOrWatch(platform, r)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(snapshot)
	})
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		object, err := platform.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
		if err != nil {
			writeError(w, err)
			return
		}
		writeETag(w, object.Revision)
		_, _ = w.Write(object.Value)
	})
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, connector.MaxValueBytes))
		if err != nil {
			writeError(w, classifier.Wrap(classifier.CodeTooLarge, r.URL.Path, err))
			return
		}
		object := connector.Object{
			Kind: r.PathValue("kind"), Name: r.PathValue("name"), Value: value, Revision: ifMatchRevision(r),
		}
		revision, err := platform.Put(r.Context(), object)
		if err != nil {
			writeError(w, err)
			return
		}
		writeETag(w, revision)
	})
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		if err := platform.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), ifMatchRevision(r)); err != nil {
			writeError(w, err)
		}
	})
	return mux
}

func listOrWatch(platform connector.Platform, r *http.Request) (connector.Snapshot, error) {
	after := r.URL.Query().Get("after")
	if after == "" {
		return platform.List(r.Context(), r.PathValue("kind"))
	}
	revision, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return connector.Snapshot{}, classifier.Wrap(classifier.CodeBadRequest, "after", err)
	}
	wait, err := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	if err != nil {
		return connector.Snapshot{}, classifier.Wrap(classifier.CodeBadRequest, "wait", err)
	}
	return platform.Watch(r.Context(), r.PathValue("kind"), revision, timekeeper.Millis(wait))
}

func ifMatchRevision(r *http.Request) uint64 {
	revision, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return revision
}

func writeETag(w http.ResponseWriter, revision uint64) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(revision, 10)+`"`)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch classifier.CodeOf(err) {
	case classifier.CodeObjectMissing:
		status = http.StatusNotFound
	case classifier.CodeConflict:
		status = http.StatusPreconditionFailed
	case classifier.CodeTooLarge:
		status = http.StatusRequestEntityTooLarge
	case classifier.CodeRateLimited:
		status = http.StatusTooManyRequests
	case classifier.CodeBadRequest:
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}
