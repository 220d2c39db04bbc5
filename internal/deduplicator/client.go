package deduplicator

import (
	"context"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// owners returns the names of the owners of an id of a call, or none if the placement does not cover the id.
func (v *Service) owners(d ID, account, call string) []string {
	home := HomeZone(d, v.options.Placement.Zones(account, call).At(d.Created()))
	if home == "" {
		return nil
	}
	return Owners(d, v.options.Placement.Owners(home).At(d.Created()), Replicas)
}

// claimAtOwners sends a claim to all owners in parallel and returns the tally as soon as the result is decided.
func (v *Service) claimAtOwners(ctx context.Context, claim *Record) *claimTally {
	owners := v.owners(claim.ID, claim.Account, claim.Call)
	tally := &claimTally{owners: len(owners), singleGrant: v.store.flags.singleGrant}
	ownerSet := fingerprint(owners)
	replies := make(chan ClaimReply, len(owners))
	for _, name := range owners {
		go func() {
			arguments, reply := ClaimArguments{Format: Format, Owner: name, Owners: ownerSet, Record: *claim}, ClaimReply{}
			if v.call(ctx, name, "Deduplicator.Claim", &arguments, &reply) != nil {
				reply = ClaimReply{}
			}
			replies <- reply
		}()
	}
	for tally.result() == resultPending {
		reply := <-replies
		tally.add(&reply)
	}
	return tally
}

// releaseAtOwners tells all owners that the attempt of the record never started, even if the request was canceled.
func (v *Service) releaseAtOwners(ctx context.Context, record *Record) {
	owners := v.owners(record.ID, record.Account, record.Call)
	arguments := ReleaseArguments{Format: Format, Record: *record}
	arguments.Record.State = StateReleased
	arguments.Record.Answer = nil
	_ = v.broadcast(context.WithoutCancel(ctx), owners, "Deduplicator.Release", &arguments)
}

// completeAtOwners sends the record of a finished run to all owners, even if the request was canceled.
func (v *Service) completeAtOwners(ctx context.Context, record Record) error {
	owners := v.owners(record.ID, record.Account, record.Call)
	arguments := CompleteArguments{Format: Format, Records: []Record{record}}
	return v.broadcast(context.WithoutCancel(ctx), owners, "Deduplicator.Complete", &arguments)
}

// broadcast sends a message to several members in parallel, waits for all replies and returns the first error.
func (v *Service) broadcast(ctx context.Context, names []string, method string, arguments any) error {
	failures := make([]error, len(names))
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() {
			failures[i] = v.call(ctx, name, method, arguments, &Empty{})
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// call sends a message to a member. Messages to this node itself are handled without a connection.
func (v *Service) call(ctx context.Context, name, method string, arguments, reply any) error {
	if name == v.options.Name {
		return v.handleLocally(arguments, reply)
	}
	member, found := v.options.Directory.Find(name)
	if !found || member.Health == tracker.HealthFailed || member.Health == tracker.HealthLeft {
		return classifier.New(classifier.CodePeerClosed, name, "the member is not listed or has failed")
	}
	return v.options.Caller.Call(ctx, member.Peer, method, arguments, reply, v.options.Timeout)
}

// handleLocally passes a message to this node's own receiver.
func (v *Service) handleLocally(arguments, reply any) error {
	receiver := &Receiver{service: v}
	switch a := arguments.(type) {
	case *ClaimArguments:
		if r, ok := reply.(*ClaimReply); ok {
			return receiver.Claim(a, r)
		}
	case *ReleaseArguments:
		return receiver.Release(a, &Empty{})
	case *CompleteArguments:
		return receiver.Complete(a, &Empty{})
	case *LookupArguments:
		if r, ok := reply.(*LookupReply); ok {
			return receiver.Lookup(a, r)
		}
	}
	return classifier.New(classifier.CodePeerInvalid, v.options.Name, "unknown message %T", arguments)
}
