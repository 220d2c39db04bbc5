package faker

// route is one direction of a connection of the fake network.
type route struct {
	fromZone, fromMember string
	toZone, toMember     string
}

func (r route) local() bool {
	return r.fromZone == r.toZone
}
