package runner

import (
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// memoryLimit returns the memory that the process may use, in bytes: the platform's limit if it is known.
func memoryLimit(settings *loader.Settings) int64 {
	if limit := int64(settings.Hosted.Memory * 1e6); limit > 0 {
		return limit
	}
	return settings.Memory.Process
}

// newBudget returns the budget for the bodies in flight and adds its gauges to the meter. It warns if the longest body
// that the settings allow does not fit into it.
func newBudget(
	settings *loader.Settings, clock timekeeper.Clock, gauges *meter.Meter, log *zap.Logger,
) *budgeter.Budget {
	budget := budgeter.New(clock, memoryLimit(settings))
	if budget.Longest() < settings.Body {
		log.Warn("node: the longest body that the settings allow does not fit into the memory",
			zap.Int64("body", settings.Body), zap.Int64("longest", budget.Longest()))
	}
	gauges.Function("body_bytes_held", budget.Held)
	gauges.Function("bodies_waiting_for_memory", budget.Waiting)
	gauges.Function("bodies_refused_for_memory", budget.Refused)
	return budget
}
