package faker

// route is one direction of a connection of the fake network.
type route struct {
	fromZone, fromMember string
	toZone, toMember     string
	number               uint64 // of the connection, from 1; 0 while it is dialed
}

func (r route) local() bool {
	return r.fromZone == r.toZone
}
