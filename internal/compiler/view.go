// Package compiler compiles sources (templates and client account parameters) into the view that nodes activate.
package compiler

// View is a complete configuration. All lists are sorted by name. A View is immutable once it is built.
type View struct {
	Version  uint64    `json:"version"  msgpack:"v"`
	Digest   string    `json:"digest"   msgpack:"d"`
	Services []Service `json:"services" msgpack:"s"`
	Accounts []Account `json:"accounts" msgpack:"a"`
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
