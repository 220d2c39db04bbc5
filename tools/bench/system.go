package main

// Systems that the measurements compare: jasmineproxy (design) and a simple baseline (naive).
const (
	systemDesign = "design"
	systemNaive  = "naive"
)

// floodedService is the service that the flood scenarios of the request measurement overload.
const floodedService = "storefront"

// Names of scenarios and metrics that several measurements use.
const (
	scenarioQuiet       = "quiet"
	scenarioChanges     = "changes"
	metricPlatformCalls = "platform_calls"
)
