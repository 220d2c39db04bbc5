// Package compiler compiles sources (templates and client account parameters) into the view that nodes activate.
package compiler

// View is a complete configuration. All lists are sorted by name. A View is immutable once it is built.
type View struct {
	Version  uint64    `json:"version"  msgpack:"v"`
	Digest   string    `json:"digest"   msgpack:"d"`
	Services []Service `json:"services" msgpack:"s"`
	Accounts []Account `json:"accounts" msgpack:"a"`
	// Clients are the client accounts that callers state by a key; none if callers need no key.
	Clients []Client `json:"clients,omitempty" msgpack:"l,omitempty"`
}

// Client returns the client account of the given name that callers state by a key, or nil.
func (v *View) Client(name string) *Client {
	for i := range v.Clients {
		if v.Clients[i].Name == name {
			return &v.Clients[i]
		}
	}
	return nil
}

// Service returns the service of the given name, or nil.
func (v *View) Service(name string) *Service {
	for i := range v.Services {
		if v.Services[i].Name == name {
			return &v.Services[i]
		}
	}
	return nil
}

// Account returns the client account of the given name, or nil.
func (v *View) Account(name string) *Account {
	for i := range v.Accounts {
		if v.Accounts[i].Name == name {
			return &v.Accounts[i]
		}
	}
	return nil
}
