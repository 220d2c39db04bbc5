package rollouter

// Receiver handles messages of other nodes. Register it with the messenger as "Rollouter".
type Receiver struct {
	gate *Gate
}

// Receiver returns the net/rpc receiver.
func (g *Gate) Receiver() any {
	return &Receiver{gate: g}
}

// Grant puts a grant into force and replies with a report.
func (r *Receiver) Grant(grant *Grant, report *Report) error {
	if err := grant.check(); err != nil {
		return err
	}
	*report = r.gate.Apply(grant)
	return nil
}
