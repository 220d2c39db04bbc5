package compiler

// Account is a client account with its own host, ranks and calls.
type Account struct {
	Name     string   `json:"name"     msgpack:"n"`
	Host     string   `json:"host"     msgpack:"h"`
	Template string   `json:"template" msgpack:"t"`
	Ranks    []Rank   `json:"ranks"    msgpack:"r"`
	Calls    []Call   `json:"calls"    msgpack:"c"`
	Services []string `json:"services" msgpack:"s"`
}

// Rank returns the rank of the given name, or nil.
func (a *Account) Rank(name string) *Rank {
	for i := range a.Ranks {
		if a.Ranks[i].Name == name {
			return &a.Ranks[i]
		}
	}
	return nil
}
