package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Headers of the request path. All headers with the prefix are removed from requests of callers and responses of
// upstreams.
const (
	headerPrefix        = "Jasmine-"
	headerID            = "Jasmine-Id"
	headerDeadline      = "Jasmine-Deadline"
	headerInternal      = "Jasmine-Internal"
	headerKey           = "Jasmine-Key"
	headerDepth         = "Jasmine-Depth"
	headerRetry         = "Jasmine-Retry"
	headerVersion       = "Jasmine-Version"
	headerLoad          = "Jasmine-Load"
	headerForward       = "Jasmine-Forward" // entry node to host node: a job
	headerTarget        = "Jasmine-Target"  // entry node to host node: path and query
	headerWait          = "Jasmine-Wait"    // host node to entry node: ms after which a refused request may be retried
	headerAnswers       = "Jasmine-Answers" // host node to entry node: id and attempt that the response belongs to
	headerCertain       = "Jasmine-Certain" // host node to entry node: the id's claim was released, so it never ran
	headerDied          = "Jasmine-Died"    // host node to entry node: the upstream crashed during the run
	headerReached       = "Jasmine-Reached" // host node to entry node: the request was sent to the upstream
	headerLength        = "Jasmine-Length"  // host node to entry node: Content-Length of a response to HEAD
	headerContentLength = "Content-Length"
	headerAgent         = "User-Agent"
)

// Headers that adapters translate.
const (
	HeaderInstance = "Jasmine-Instance" // host node to upstream: id of the process that is to run the request
	HeaderOrigin   = "Jasmine-Origin"   // host node to upstream: service beside the entry node
	HeaderClient   = "Jasmine-Client"   // host node to upstream: client account that the caller stated by a key
	HeaderLimit    = "Jasmine-Limit"    // upstream to host node: requests per second that it accepts from all nodes
	HeaderLeaving  = "Jasmine-Leaving"  // upstream to host node: 1 if it ends soon and accepts no new requests
	HeaderID       = headerID           // id of the request
	HeaderDeadline = headerDeadline     // remaining time in ms
	HeaderKey      = headerKey          // key of the caller's client account
	HeaderWait     = headerWait         // ms after which a refused request may be retried
	HeaderPrefix   = headerPrefix       // of all names above
)

// Headers of a response that state how the call ended.
const (
	HeaderOutcome  = "Jasmine-Outcome"  // a classifier.Outcome
	HeaderCode     = "Jasmine-Code"     // a classifier.Code
	HeaderAttempts = "Jasmine-Attempts" // number of attempts, if there was more than one
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// passHeaders copies the end-to-end headers. The values are shared, not copied.
func passHeaders(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if hopHeaders[name] || strings.HasPrefix(name, headerPrefix) || listedInConnection(connection, name) {
			continue
		}
		to[name] = values
	}
}

// announceClose announces in a response that the server closes the connection after it.
func announceClose(w http.ResponseWriter) {
	w.Header()["Connection"] = []string{"close"}
}

// listedInConnection reports whether a Connection header lists the name of a header.
func listedInConnection(connection []string, name string) bool {
	for _, line := range connection {
		for word := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(word), name) {
				return true
			}
		}
	}
	return false
}

// suppressAgent keeps net/http from adding its own User-Agent.
func suppressAgent(header http.Header) {
	if _, ok := header[headerAgent]; !ok {
		header[headerAgent] = nil
	}
}

// encodeLoad returns the value of a Jasmine-Load header. serviceTime is the average service time of the call in ms, 0
// if unknown. failurePermille is the share of runs that the upstream fails, in thousandths. The capacity follows only
// if the upstream has a limit, since older nodes reject a longer header.
func encodeLoad(load admitter.Load, serviceTime timekeeper.Millis, failurePermille int) string {
	numbers := [...]int{load.Running, load.Queued, load.Slots, int(serviceTime), failurePermille, load.Capacity}
	count := len(numbers)
	if load.Capacity == 0 {
		count--
	}
	text := make([]byte, 0, 32)
	for i, number := range numbers[:count] {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendInt(text, int64(number), 10)
	}
	return string(text)
}

// decodeLoad reads a Jasmine-Load header; false when it is missing or malformed.
func decodeLoad(text string) (load admitter.Load, serviceTime timekeeper.Millis, failurePermille int, ok bool) {
	var numbers [6]int
	rest := text
	for i := range numbers {
		if i == len(numbers)-1 && rest == "" {
			break // the capacity may be missing
		}
		word, after, _ := strings.Cut(rest, " ")
		number, err := strconv.Atoi(word)
		if err != nil || number < 0 || number > 1<<30 {
			return admitter.Load{}, 0, 0, false
		}
		numbers[i], rest = number, after
	}
	if rest != "" {
		return admitter.Load{}, 0, 0, false
	}
	load = admitter.Load{Running: numbers[0], Queued: numbers[1], Slots: numbers[2], Capacity: numbers[5]}
	return load, timekeeper.Millis(numbers[3]), numbers[4], true
}

// decodeMillis reads an optional duration in ms; a missing header yields fallback.
func decodeMillis(header http.Header, name string, fallback timekeeper.Millis) (timekeeper.Millis, error) {
	text := header.Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 || number > int64(24*60*timekeeper.Minute) {
		return 0, classifier.Refuse(classifier.CodeBadRequest, name, "%.30q is not a duration in ms", text)
	}
	return timekeeper.Millis(number), nil
}
