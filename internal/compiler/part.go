package compiler

// Part is a service with its share of a call's requests. Shares are relative to their sum.
type Part struct {
	Service string `json:"service" msgpack:"s"`
	Weight  int    `json:"weight"  msgpack:"w"`
}
