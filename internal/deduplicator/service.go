package deduplicator

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options configures a Service. Zero sizes and times select the defaults.
type Options struct {
	Name        string // this node's member name
	Incarnation uint64 // this node's incarnation in the membership table
	Zone        string // this node's data centre
	Clock       timekeeper.Clock
	Caller      Caller
	Directory   Directory
	Placement   Placement
	// OwnerSince returns the time from which this process counts as an owner, which is when it and the other members of
	// its data centre listed each other. 0 means not yet. A process stops being an owner when the directory lists a newer
	// process of its name. Before that, two processes of the same name that run at the same time can grant an id twice.
	OwnerSince func() timekeeper.Millis
	Bytes      int               // memory for records and answers, default 64 MiB
	Window     timekeeper.Millis // memory window: how long ids are remembered, default 10 min
	Timeout    timekeeper.Millis // per message, default 250 ms
	Poll       timekeeper.Millis // average interval between polls of a running attempt, default 20 ms
}

// Defaults of Options.
const (
	defaultBytes   = 64 << 20
	defaultWindow  = 10 * timekeeper.Minute
	defaultTimeout = 250 * timekeeper.Millis(1)
	defaultPoll    = 20 * timekeeper.Millis(1)
)

// Service is a node's Coordinator and its Store as an owner.
type Service struct {
	options Options
	store   *Store
	host    *Host
	random  sync.Pool
}

var _ Coordinator = (*Service)(nil)

// New returns a service without records. Three quarters of the memory are for records of this node as an owner and one
// quarter for the attempts that it hosts, because each id has one host and three owners.
func New(options Options) *Service {
	options.Bytes = orDefault(options.Bytes, defaultBytes)
	options.Window = orDefault(options.Window, defaultWindow)
	options.Timeout = orDefault(options.Timeout, defaultTimeout)
	options.Poll = orDefault(options.Poll, defaultPoll)
	return &Service{
		options: options,
		store:   NewStore(options.Bytes/4*3, options.Window),
		host:    NewHost(options.Name, options.Incarnation, options.Bytes/4, options.Window),
		random: sync.Pool{New: func() any {
			return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}},
	}
}

// orDefault returns value, or other if value is zero.
func orDefault[T int | timekeeper.Millis](value, other T) T {
	if value == 0 {
		return other
	}
	return value
}

// NewID returns a new id for a call. Its home is this data centre if the service of the call runs here.
func (v *Service) NewID(account, call string) string {
	random, _ := v.random.Get().(*rand.Rand)
	defer v.random.Put(random)
	now := v.options.Clock.Now()
	return NewID(now, random, v.options.Zone, v.options.Placement.Zones(account, call).At(now)).String()
}

// Claim implements Coordinator.
func (v *Service) Claim(ctx context.Context, r Request) (Decision, error) {
	now := v.options.Clock.Now()
	d, refusal := v.admit(now, r)
	if refusal != nil {
		return refusal, nil
	}
	claim, claimed := v.host.Begin(now, d, &r)
	if !claimed {
		return v.decideFromRecord(r, claim), nil
	}
	proceed := Proceed{Until: d.Created() + v.options.Window - 2*Skew, Sequence: claim.Sequence}
	if r.Fresh && d.GeneratedByNode() {
		return proceed, nil
	}
	if d.GeneratedByNode() && !v.store.flags.reclaimGenerated {
		v.host.Release(now, d, claim.Sequence)
		return v.resolveGenerated(ctx, r, d)
	}
	tally := v.claimAtOwners(ctx, &claim)
	if tally.result() == resultGranted {
		return proceed, nil
	}
	v.host.Release(v.options.Clock.Now(), d, claim.Sequence)
	v.releaseAtOwners(ctx, &claim)
	if tally.conflict.State == StateNone {
		return Refuse{Error: tally.refusal(r.ID)}, ctx.Err()
	}
	return v.resolveConflict(ctx, r, tally.conflict), nil
}

// admit refuses ids that are malformed or whose creation time is out of range, requests for another process and
// requests past their deadline. Another node's clock may be Skew behind or ahead of this one. All nodes are therefore
// sure to refuse an id only if its creation time is more than twice Skew ahead.
func (v *Service) admit(now timekeeper.Millis, r Request) (ID, Decision) {
	d, ok := parse(r.ID)
	switch created := d.Created(); {
	case !ok:
		return d, Refuse{classifier.Refuse(classifier.CodeIDMalformed, r.ID, "the id is not a UUIDv7")}
	case created > now+2*Skew:
		return d, Refuse{classifier.Refuse(classifier.CodeIDFuture, r.ID, "the id's timestamp is %d ms ahead", created-now)}
	case created > now+Skew:
		return d, Refuse{classifier.Unknown(classifier.CodeIDFuture, r.ID, "the id's timestamp is %d ms ahead", created-now)}
	case now-created > v.options.Window:
		return d, Refuse{classifier.Unknown(classifier.CodeIDExpired, r.ID, "the id was created %d ms ago", now-created)}
	case !v.sentToThisProcess(r) && !v.store.flags.ignoreIncarnation:
		return d, Refuse{v.notRunError(r, classifier.CodeNotReady, "the attempt was sent to another process")}
	case r.Deadline != 0 && now >= r.Deadline:
		return d, Refuse{v.notRunError(r, classifier.CodeDeadlinePassed, "the deadline passed before the claim")}
	}
	return d, nil
}

// sentToThisProcess reports whether the entry node sent the attempt to this process. The node's address may have
// belonged to another process when the attempt was sent.
func (v *Service) sentToThisProcess(r Request) bool {
	return r.Host == v.options.Name && r.Incarnation == v.options.Incarnation
}

// notRunError returns the error for an attempt that did not run. The outcome of an id from a caller is unknown
// nevertheless, because an earlier attempt of the caller may have run.
func (v *Service) notRunError(r Request, code classifier.Code, reason string) *classifier.Error {
	if r.Fresh {
		return classifier.Refuse(code, r.ID, "%s", reason)
	}
	return classifier.Unknown(code, r.ID, "%s", reason)
}

// decideFromRecord decides on an attempt whose id already has a record. A record in StateNone means that this host's
// memory is full.
func (v *Service) decideFromRecord(r Request, record Record) Decision {
	switch record.State {
	case StateNone:
		return Refuse{Error: v.notRunError(r, classifier.CodeMemoryFull, "this node's memory for ids is full")}
	case StateReleased:
		return Refuse{Error: v.notRunError(r, classifier.CodeIDUncertain, "the attempt was settled as not run")}
	case StateClaimed, StateDone:
	}
	if record.Account != r.Account || record.Call != r.Call {
		return Refuse{Error: classifier.Unknown(classifier.CodeDuplicateRunning, r.ID, "the id belongs to another call")}
	}
	if record.State == StateClaimed {
		return Wait{Record: record, After: v.options.Poll}
	}
	return replayDecision(record)
}

// replayDecision returns the first answer, or an error with the outcome "unknown" if the answer is not stored. Status 0
// means that the run ended without a complete answer.
func replayDecision(record Record) Decision {
	if record.Status == 0 {
		return Refuse{Error: unknownOutcome(record.ID.String())}
	}
	if record.Answer == nil {
		return Refuse{Error: classifier.Unknown(classifier.CodeAnswerGone, record.ID.String(),
			"the request ran and its answer is not kept")}
	}
	return Replay{Answer: *record.Answer}
}

// Release implements Coordinator. The request needs the sequence of its Proceed decision.
func (v *Service) Release(ctx context.Context, r Request) error {
	d, err := ParseID(r.ID)
	if err != nil {
		return err
	}
	if !v.host.Release(v.options.Clock.Now(), d, r.Sequence) {
		return classifier.New(classifier.CodePeerInvalid, r.ID, "no claim with sequence %d is held", r.Sequence)
	}
	if r.Fresh && d.GeneratedByNode() {
		return nil
	}
	record := Record{
		ID: d, State: StateReleased, Host: v.options.Name, Incarnation: v.options.Incarnation,
		Sequence: r.Sequence, Attempt: r.Attempt, Account: r.Account, Call: r.Call,
	}
	v.releaseAtOwners(ctx, &record)
	return nil
}

// Complete implements Coordinator. The request needs the sequence of its Proceed decision.
func (v *Service) Complete(ctx context.Context, r Request, a Answer) error {
	d, err := ParseID(r.ID)
	if err != nil {
		return err
	}
	record, completed := v.host.Complete(v.options.Clock.Now(), d, r.Sequence, &a)
	if !completed {
		return classifier.New(classifier.CodePeerInvalid, r.ID, "no claim with sequence %d is held", r.Sequence)
	}
	if len(a.Body) <= MaxCopyBytes {
		record.Answer = &a
	}
	return v.completeAtOwners(ctx, record)
}

// Settle determines the outcome of an attempt for an entry node that lost contact with this node. StateReleased means
// that the attempt did not run and never will. StateNone means that the outcome is unknown. See Host.Settle.
func (v *Service) Settle(r Request) (Record, error) {
	d, err := ParseID(r.ID)
	if err != nil || !v.sentToThisProcess(r) && !v.store.flags.ignoreIncarnation {
		return Record{ID: d}, err
	}
	return v.host.Settle(v.options.Clock.Now(), d, r.Attempt), nil
}

// Bytes returns the memory in use by records and answers.
func (v *Service) Bytes() int {
	return v.store.Bytes() + v.host.table.bytes()
}
