package compiler

// Part is one of the services among which a call's requests are split. Weights are relative to their sum.
type Part struct {
	Service string `json:"service" msgpack:"s"`
	Weight  int    `json:"weight"  msgpack:"w"`
}
