package admitter

import (
	"math"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Limit is the number of requests per second that an upstream accepts from all nodes together. The zero value is no
// limit.
type Limit struct {
	Stated bool
	Rate   float64 // requests per second; 0 allows none
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
