package admitter

import (
	"math"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limit is the number of requests per second that an upstream accepts from all nodes together. The zero value is no
// limit.
type Limit struct {
	Stated bool
	Rate   float64 // requests per second; 0 allows none
}

// Replaces reports whether l, stated in the response to a request sent at a time, replaces the current limit, which the
// node learned at the time since. Responses may arrive in another order than the upstream made them, so the end of a
// limit counts only in the response to a request that was sent after the node had learned the limit.
func (l Limit) Replaces(current Limit, since, sent timekeeper.Millis) bool {
	return l.Stated || !current.Stated || sent >= since
}

// ParseLimit reads a limit as a decimal number of requests per second. An empty text is no limit. It fails with code
// 403 for other texts that are not a finite number of at least 0.
func ParseLimit(text string) (Limit, error) {
	if text == "" {
		return Limit{}, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Limit{}, classifier.New(classifier.CodeBadRequest, "limit",
			"%.40q is not a number of requests per second", text)
	}
	return Limit{Stated: true, Rate: rate}, nil
}
