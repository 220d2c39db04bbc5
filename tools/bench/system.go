package main

// Systems that measurements compare.
const (
	systemDesign = "design"
	systemNaive  = "naive"
)

// floodedService is the service whose calls flood in the request measurement.
const floodedService = "storefront"
