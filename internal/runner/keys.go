package runner

// freshShare is the part of the time until a withdrawn key must be refused for which a node accepts keys after its
// configuration was last confirmed. The rest covers the differences between the clocks of machines.
const freshShare = 0.9

// keysFresh reports whether the configuration was confirmed so recently that no key can have been withdrawn for longer
// than the operator allows.
func (n *Hosted) keysFresh() bool {
	if !n.settings.Hosted.Closed || n.settings.Hosted.Revoke <= 0 {
		return true
	}
	age, confirmed := n.subscriber.Age()
	return confirmed && age <= toMillis(n.settings.Hosted.Revoke*freshShare)
}

// addKeyMetrics registers the metrics of keys and allotments.
func (n *Hosted) addKeyMetrics() {
	n.meter.Function("config_confirmed_age_ms", func() int64 {
		age, confirmed := n.subscriber.Age()
		if !confirmed {
			return -1
		}
		return int64(age)
	})
	n.meter.Function("keys_accepted", func() int64 {
		if n.keysFresh() {
			return 1
		}
		return 0
	})
	n.meter.Function("allotment_leases", n.allotter.Leases)
	n.meter.Function("allotment_refusals", n.allotter.Refused)
}
