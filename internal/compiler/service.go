package compiler

// Service is a group of upstreams that serve the same calls. Several client accounts may share a service.
type Service struct {
	Name        string   `json:"name"        msgpack:"n" validate:"required,name"`
	Zones       []string `json:"zones"       msgpack:"z" validate:"required,min=1,max=64,unique,dive,name"`
	Slots       int      `json:"slots"       msgpack:"s" validate:"min=1,max=10000"`
	Connections int      `json:"connections" msgpack:"c" validate:"min=1,max=100000"`
	Probe       string   `json:"-"           msgpack:"p,omitempty"` // path of the health check; empty if not set
}
