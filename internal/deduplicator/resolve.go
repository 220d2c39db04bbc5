package deduplicator

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// conflict decides on an attempt whose id another attempt holds or finished.
func (v *Service) conflict(ctx context.Context, r Request, record Record) Decision {
	if record.Account != r.Account || record.Call != r.Call {
		return v.standing(r, record)
	}
	if record.State == StateDone && record.Answer != nil {
		return replay(record)
	}
	if v.gone(record) {
		if record.State == StateDone {
			return replay(record)
		}
		return Refuse{Error: unknown(r.ID)}
	}
	certified, err := v.certify(ctx, record)
	switch {
	case err != nil && record.State == StateDone:
		return replay(record)
	case err != nil, certified.State == StateClaimed:
		return Wait{Record: record, After: v.pause(record)}
	case certified.State == StateReleased && record.State == StateClaimed:
		v.release(ctx, &record)
		return Wait{Record: record, After: v.pause(record)}
	case certified.State == StateDone:
		return replay(certified)
	case record.State == StateDone:
		return replay(record)
	}
	return Refuse{Error: unknown(r.ID)}
}

// pause is the time until the next look at a running attempt, in ms. It differs between hosts, so that two that split
// the owners between them do not claim again at the same moment.
func (v *Service) pause(record Record) timekeeper.Millis {
	jitter := weight(record.Sequence+v.host.sequence.Load(), v.options.Name) % uint64(v.options.Poll)
	return v.options.Poll/2 + timekeeper.Millis(jitter)
}

// gone reports whether the process that holds a claim has ended as far as this node knows.
func (v *Service) gone(record Record) bool {
	member, found := v.options.Directory.Find(record.Host)
	return !found || member.Incarnation > record.Incarnation ||
		member.Health == tracker.HealthFailed || member.Health == tracker.HealthLeft
}

// certify asks the host of a claim what became of it.
func (v *Service) certify(ctx context.Context, record Record) (Record, error) {
	arguments := LookupArguments{
		Format: Format, ID: record.ID, Host: record.Host, Incarnation: record.Incarnation, Sequence: record.Sequence,
	}
	var reply LookupReply
	err := v.call(ctx, record.Host, "Deduplicator.Lookup", &arguments, &reply)
	return reply.Record, err
}

// unknown is the end of an attempt of an id that may have run and whose answer is lost.
func unknown(id string) *classifier.Error {
	return classifier.Unknown(classifier.CodeOutcomeUnknown, id, "the id may have run and its answer is lost")
}

// recall answers an id that a node created and a caller sends again. It never runs: the first attempt ran without
// claims, so its host may have run it even if no owner has a record.
func (v *Service) recall(ctx context.Context, r Request, d ID) (Decision, error) {
	record := v.ask(ctx, d, v.owners(d, r.Account, r.Call))
	if record.State <= StateReleased {
		return Refuse{Error: unknown(r.ID)}, ctx.Err()
	}
	return v.conflict(ctx, r, record), nil
}

// ask returns the furthest record that the named owners have of an id.
func (v *Service) ask(ctx context.Context, d ID, owners []string) Record {
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
		if r := <-replies; further(r, best) {
			best = r
		}
	}
	return best
}

// Lookup implements Coordinator. It asks this node as a host, then the owners of the id for every list of data
// centres in the placement, then the host of the claim.
func (v *Service) Lookup(ctx context.Context, id string) (Record, error) {
	d, err := ParseID(id)
	if err != nil {
		return Record{}, err
	}
	best := v.host.Lookup(v.options.Clock.Now(), d)
	if complete(best) {
		return best, nil
	}
	asked := make(map[string]bool)
	for _, schedule := range v.options.Placement.Homes() {
		home := HomeZone(d, schedule.At(d.Birth()))
		if home == "" || asked[home] {
			continue
		}
		asked[home] = true
		found := v.ask(ctx, d, Owners(d, v.options.Placement.Owners(home).At(d.Birth()), Replicas))
		if further(found, best) {
			best = found
		}
	}
	if best.State <= StateReleased || complete(best) || v.gone(best) {
		return best, ctx.Err()
	}
	if certified, err := v.certify(ctx, best); err == nil && !further(best, certified) {
		return certified, nil
	}
	return best, ctx.Err()
}

// complete reports whether the record holds the first answer.
func complete(r Record) bool {
	return r.State == StateDone && r.Answer != nil
}

// further reports whether a tells more than b.
func further(a, b Record) bool {
	return a.State > b.State || a.State == b.State && a.Answer != nil && b.Answer == nil
}
