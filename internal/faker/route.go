package faker

// route identifies the two ends of a connection of a Topology.
type route struct {
	fromZone, fromMember string
	toZone, toMember     string
	number               uint64 // of the connection, from 1; 0 while it is being dialed
}

// local reports whether both ends are in the same data centre.
func (r route) local() bool {
	return r.fromZone == r.toZone
}
