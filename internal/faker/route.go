package faker

// route identifies the two ends of a connection of the fake network.
type route struct {
	fromZone, fromMember string
	toZone, toMember     string
	number               uint64 // of the connection, from 1; 0 while it is being dialed
}

func (r route) local() bool {
	return r.fromZone == r.toZone
}
