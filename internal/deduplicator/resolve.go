package deduplicator

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// resolveConflict decides on an attempt whose id another attempt has claimed or finished.
func (v *Service) resolveConflict(ctx context.Context, r Request, record Record) Decision {
	if record.Account != r.Account || record.Call != r.Call {
		return v.decideFromRecord(r, record)
	}
	if record.State == StateDone && record.Answer != nil {
		return replayDecision(record)
	}
	if v.hostEnded(record) {
		if record.State == StateDone {
			return replayDecision(record)
		}
		return Refuse{Error: unknownOutcome(r.ID)}
	}
	certified, err := v.queryHost(ctx, record)
	switch {
	case err != nil && record.State == StateDone:
		return replayDecision(record)
	case err != nil, certified.State == StateClaimed:
		return Wait{Record: record, After: v.pollDelay(record)}
	case certified.State == StateReleased && record.State == StateClaimed:
		v.releaseAtOwners(ctx, &record)
		return Wait{Record: record, After: v.pollDelay(record)}
	case certified.State == StateDone:
		return replayDecision(certified)
	case record.State == StateDone:
		return replayDecision(record)
	}
	return Refuse{Error: unknownOutcome(r.ID)}
}

// pollDelay returns the time until the next poll of a running attempt, in ms. Its jitter differs between hosts, so that
// two hosts that each got some of the owners do not claim again at the same time.
func (v *Service) pollDelay(record Record) timekeeper.Millis {
	jitter := weight(record.Sequence+v.host.sequence.Load(), v.options.Name) % uint64(v.options.Poll)
	return v.options.Poll/2 + timekeeper.Millis(jitter)
}

// hostEnded reports whether the host process of a claim has ended according to the directory.
func (v *Service) hostEnded(record Record) bool {
	member, found := v.options.Directory.Find(record.Host)
	return !found || member.Incarnation > record.Incarnation ||
		member.Health == tracker.HealthFailed || member.Health == tracker.HealthLeft
}

// queryHost requests the state of a claim from its host.
func (v *Service) queryHost(ctx context.Context, record Record) (Record, error) {
	arguments := LookupArguments{
		Format: Format, ID: record.ID, Host: record.Host, Incarnation: record.Incarnation, Sequence: record.Sequence,
	}
	var reply LookupReply
	err := v.call(ctx, record.Host, "Deduplicator.Lookup", &arguments, &reply)
	return reply.Record, err
}

// unknownOutcome returns the error for an id that may have run and whose answer is unavailable.
func unknownOutcome(id string) *classifier.Error {
	return classifier.Unknown(classifier.CodeOutcomeUnknown, id, "the id may have run and its answer is lost")
}

// resolveGenerated decides on an id that a node created and a caller sends again. It never lets the id run: the first
// attempt needed no claim at the owners, so that it may have run even if no owner has a record.
func (v *Service) resolveGenerated(ctx context.Context, r Request, d ID) (Decision, error) {
	record := v.queryOwners(ctx, d, v.owners(d, r.Account, r.Call))
	if record.State <= StateReleased {
		return Refuse{Error: unknownOutcome(r.ID)}, ctx.Err()
	}
	return v.resolveConflict(ctx, r, record), nil
}

// queryOwners returns the most advanced record of an id among the given owners.
func (v *Service) queryOwners(ctx context.Context, d ID, owners []string) Record {
	best := Record{ID: d}
	replies := make(chan Record, len(owners))
	for _, name := range owners {
		go func() {
			var reply LookupReply
			if v.call(ctx, name, "Deduplicator.Lookup", &LookupArguments{Format: Format, ID: d}, &reply) != nil {
				reply = LookupReply{}
			}
			replies <- reply.Record
		}()
	}
	for range owners {
		if r := <-replies; moreAdvanced(r, best) {
			best = r
		}
	}
	return best
}

// Lookup implements Coordinator. It queries this node's own table, then the owners of the id for every list of data
// centres in the placement, then the host of the claim.
func (v *Service) Lookup(ctx context.Context, id string) (Record, error) {
	d, err := ParseID(id)
	if err != nil {
		return Record{}, err
	}
	best := v.host.Lookup(v.options.Clock.Now(), d)
	if hasAnswer(best) {
		return best, nil
	}
	queried := make(map[string]bool)
	for _, schedule := range v.options.Placement.AllZones() {
		home := HomeZone(d, schedule.At(d.Created()))
		if home == "" || queried[home] {
			continue
		}
		queried[home] = true
		found := v.queryOwners(ctx, d, Owners(d, v.options.Placement.Owners(home).At(d.Created()), Replicas))
		if moreAdvanced(found, best) {
			best = found
		}
	}
	if best.State <= StateReleased || hasAnswer(best) || v.hostEnded(best) {
		return best, ctx.Err()
	}
	if certified, err := v.queryHost(ctx, best); err == nil && !moreAdvanced(best, certified) {
		return certified, nil
	}
	return best, ctx.Err()
}

// hasAnswer reports whether the record contains the first answer.
func hasAnswer(r Record) bool {
	return r.State == StateDone && r.Answer != nil
}

// moreAdvanced reports whether record a is in a later state than b, or in the same state and only a has the answer.
func moreAdvanced(a, b Record) bool {
	return a.State > b.State || a.State == b.State && a.Answer != nil && b.Answer == nil
}
