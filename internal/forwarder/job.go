package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// jobFormat is the version of the Jasmine-Forward header.
const jobFormat = 1

// jobFields is the number of fields without the client account, which follows only if the caller stated one.
const jobFields = 18

// job describes a request to the host node, in the Jasmine-Forward header.
type job struct {
	ID          string
	Attempt     int
	Token       uint64 // distinguishes requests with the same id, which number their attempts separately
	Idempotent  bool
	Fresh       bool // no earlier request used the id
	Retry       bool // the request is part of a retry at this or an earlier node
	Late        bool // the target passed before the request arrived here
	Nested      bool // an upstream makes the call within a run
	Order       int
	Share       int
	Target      timekeeper.Millis
	Remaining   timekeeper.Millis // until the deadline
	Depth       int
	Expires     timekeeper.Millis // the deadline as a point in time, on the clock of the entry node
	Fingerprint uint64            // of method, path, query and body
	Account     string
	Client      string // client account that the caller stated by a key, or empty
	Call        string
	Service     string
	Origin      string // service of the upstream beside the entry node
	Host        string // member name of the host node that the entry node chose
	Method      string
	URI         string // path and query as the caller sent them
}

// encode returns the value of the Jasmine-Forward header.
func (j *job) encode() string {
	text := make([]byte, 0, 128)
	for _, number := range [...]int64{
		jobFormat, int64(j.Attempt), flags(j.Idempotent, j.Fresh, j.Retry, j.Late, j.Nested), int64(j.Order), int64(j.Share),
		int64(j.Target), int64(j.Remaining), int64(j.Depth), int64(j.Expires),
	} {
		text = strconv.AppendInt(text, number, 10)
		text = append(text, ' ')
	}
	text = strconv.AppendUint(text, j.Fingerprint, 16)
	text = append(text, ' ')
	text = strconv.AppendUint(text, j.Token, 16)
	for _, word := range [...]string{j.Account, j.Call, j.Service, j.Origin, j.Host, j.Method, j.ID} {
		text = append(text, ' ')
		text = append(text, word...)
	}
	if j.Client != "" {
		text = append(text, ' ')
		text = append(text, j.Client...)
	}
	return string(text)
}

func flags(values ...bool) int64 {
	sum := int64(0)
	for i, value := range values {
		if value {
			sum |= 1 << i
		}
	}
	return sum
}

// flow returns the name of the account whose requests share the upstream fairly with those of others.
func (j *job) flow() string {
	if j.Client != "" {
		return j.Client
	}
	return j.Account
}

// decodeJob reads the headers that an entry node sent. It fails with code 301 or 305.
func decodeJob(header http.Header) (*job, error) {
	words := strings.Split(header.Get(headerForward), " ")
	if words[0] != strconv.Itoa(jobFormat) {
		return nil, classifier.Refuse(classifier.CodePeerFormat, headerForward, "format %.20q is not known", words[0])
	}
	if len(words) != jobFields && len(words) != jobFields+1 {
		return nil, classifier.Refuse(classifier.CodePeerInvalid, headerForward, "has %d fields", len(words))
	}
	var numbers [9]int64
	for i := range numbers {
		number, err := strconv.ParseInt(words[i], 10, 64)
		if err != nil || number < 0 || number > 1<<42 {
			return nil, classifier.Refuse(classifier.CodePeerInvalid, headerForward, "field %d is %.30q", i, words[i])
		}
		numbers[i] = number
	}
	fingerprint, err := strconv.ParseUint(words[9], 16, 64)
	if err != nil {
		return nil, classifier.Refuse(classifier.CodePeerInvalid, headerForward, "fingerprint is %.30q", words[9])
	}
	token, err := strconv.ParseUint(words[10], 16, 64)
	if err != nil {
		return nil, classifier.Refuse(classifier.CodePeerInvalid, headerForward, "token is %.30q", words[10])
	}
	j := &job{
		Attempt: int(numbers[1]), Idempotent: numbers[2]&1 != 0, Fresh: numbers[2]&2 != 0, Retry: numbers[2]&4 != 0,
		Late: numbers[2]&8 != 0, Nested: numbers[2]&16 != 0,
		Order: int(numbers[3]), Share: int(numbers[4]), Target: timekeeper.Millis(numbers[5]),
		Remaining: timekeeper.Millis(numbers[6]), Depth: int(numbers[7]), Expires: timekeeper.Millis(numbers[8]),
		Fingerprint: fingerprint, Token: token,
		Account: words[11], Call: words[12], Service: words[13], Origin: words[14], Host: words[15],
		Method: words[16], ID: words[17],
		URI: header.Get(headerTarget),
	}
	if len(words) > jobFields {
		j.Client = words[jobFields]
	}
	if !strings.HasPrefix(j.URI, "/") || j.Order >= admitter.Ranks || j.Method == "" || !validToken(j.ID) {
		return nil, classifier.Refuse(classifier.CodePeerInvalid, headerForward, "a field is out of range")
	}
	return j, nil
}
