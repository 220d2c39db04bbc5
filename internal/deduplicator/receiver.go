package deduplicator

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Receiver handles the messages of other nodes. It is registered with the messenger as "Deduplicator".
type Receiver struct {
	service *Service
}

// Receiver returns the net/rpc receiver of this node.
func (v *Service) Receiver() any {
	return &Receiver{service: v}
}

// Claim reserves an id for a host node if this owner can rule out another claim of the id.
func (c *Receiver) Claim(arguments *ClaimArguments, reply *ClaimReply) error {
	if err := checkMessage(arguments.Format, &arguments.Record); err != nil {
		return err
	}
	v, r := c.service, &arguments.Record
	sameOwners := fingerprint(v.owners(r.ID, r.Account, r.Call)) == arguments.Owners &&
		(arguments.Owner == v.options.Name || v.store.flags.ignoreOwnerName)
	*reply = v.store.Claim(v.options.Clock.Now(), v.ownerSince(), sameOwners, r)
	reply.Format = Format
	return nil
}

// ownerSince returns the time from which this process counts as an owner. It returns 0 if the process has not joined or
// the directory lists a newer process with its name.
func (v *Service) ownerSince() timekeeper.Millis {
	if self, found := v.options.Directory.Find(v.options.Name); found && self.Incarnation > v.options.Incarnation {
		return 0
	}
	if v.options.OwnerSince == nil {
		return 0
	}
	return v.options.OwnerSince()
}

// Release frees the claim of an attempt that never started.
func (c *Receiver) Release(arguments *ReleaseArguments, reply *Empty) error {
	if err := checkMessage(arguments.Format, &arguments.Record); err != nil {
		return err
	}
	c.service.store.Release(c.service.options.Clock.Now(), &arguments.Record)
	reply.Format = Format
	return nil
}

// Complete stores records of finished runs and records that a leaving owner hands over.
func (c *Receiver) Complete(arguments *CompleteArguments, reply *Empty) error {
	if len(arguments.Records) > maxBatchRecords {
		return classifier.New(classifier.CodePeerInvalid, "deduplicator", "%d records", len(arguments.Records))
	}
	for i := range arguments.Records {
		if err := checkMessage(arguments.Format, &arguments.Records[i]); err != nil {
			return err
		}
	}
	c.service.store.Complete(c.service.options.Clock.Now(), arguments.Records)
	reply.Format = Format
	return nil
}

// Lookup returns the record of an id as an owner, or as the host of a claim.
func (c *Receiver) Lookup(arguments *LookupArguments, reply *LookupReply) error {
	if err := checkFormat(arguments.Format); err != nil {
		return err
	}
	v := c.service
	now := v.options.Clock.Now()
	reply.Format = Format
	switch arguments.Host {
	case "":
		reply.Record = v.store.Lookup(now, arguments.ID)
	case v.options.Name:
		reply.Record = v.host.Certify(now, arguments.ID, arguments.Incarnation, arguments.Sequence)
	}
	return nil
}

// checkMessage refuses a message with an unknown format or a record out of range.
func checkMessage(format int, r *Record) error {
	if err := checkFormat(format); err != nil {
		return err
	}
	return checkRecord(r)
}
