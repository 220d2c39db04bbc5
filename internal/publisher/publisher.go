package publisher

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Recorder records audit entries without blocking; auditor.Auditor implements it.
type Recorder interface {
	Record(ctx context.Context, entry auditor.Entry)
}

// Options holds the dependencies of a Publisher. Log, Audit, Active, Newest and Prune may be nil.
type Options struct {
	Platform connector.Platform
	Clock    timekeeper.Clock
	Random   *rand.Rand // not shared with other components
	Log      *zap.Logger
	Audit    Recorder
	Node     string                // name of this node, unique among publishers; stored in the lease
	Active   func() *compiler.View // active view of this node; its sections need not be fetched for a delta
	// Newest returns the highest version that any node is known to have. It exceeds that of the head after the platform
	// came back from an older copy. Nodes ignore versions that are not above their own.
	Newest func() uint64
	Prune  func(context.Context) error // called about hourly by the lease holder
}

// Publisher publishes configuration versions. Any number of nodes may publish concurrently.
type Publisher struct {
	options   Options
	cycleLock chan struct{} // holds an element during a cycle; guards store
	store     *store
	disabled  safeguards
	lease     *lease
	random    chan *rand.Rand // holds the random source while no caller uses it
}

// New returns a publisher.
func New(options Options) *Publisher {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	p := &Publisher{
		options: options, cycleLock: make(chan struct{}, 1), store: newStore(), lease: newLease(options.Node),
		random: make(chan *rand.Rand, 1),
	}
	p.random <- options.Random
	return p
}

// backoff returns a backoff with a random source of its own, since callers run concurrently.
func (p *Publisher) backoff() *connector.Backoff {
	random := <-p.random
	seed := random.Uint64()
	p.random <- random
	return connector.NewBackoff(connector.BackoffBase, connector.BackoffCap, rand.New(rand.NewPCG(seed, 0)))
}

// Publish runs one publication cycle. If it returns nil, every set that existed at its start is decided, and the
// sources are published or refused. A refusal is not an error.
func (p *Publisher) Publish(ctx context.Context) error {
	_, err := p.publish(ctx)
	return err
}

// publish waits for a running cycle of this publisher to end, then runs one and returns it.
func (p *Publisher) publish(ctx context.Context) (*cycle, error) {
	select {
	case p.cycleLock <- struct{}{}:
	case <-ctx.Done():
		return nil, classifier.Wrap(classifier.CodeUnavailable, "publication", ctx.Err())
	}
	defer func() { <-p.cycleLock }()
	c := newCycle(p.store, p.disabled)
	if p.options.Active != nil {
		c.active = p.options.Active()
	}
	if p.options.Newest != nil {
		c.newest = p.options.Newest()
	}
	var reply event = started{}
	for {
		request := c.step(p.options.Clock.Now(), reply)
		if end, ok := request.(finish); ok {
			p.report(ctx, c)
			return c, end.err
		}
		reply = perform(ctx, p.options.Platform, request)
	}
}

// report logs and audits the decisions of a cycle.
func (p *Publisher) report(ctx context.Context, c *cycle) {
	if c.committed && c.next.Version != c.head.Version {
		p.options.Log.Info("publisher: version published", zap.Uint64("version", c.next.Version),
			zap.String("digest", c.next.Digest), zap.Int("delta", len(c.next.Delta)))
	}
	if c.committed {
		for i := range c.plan.accepted {
			set := &c.plan.accepted[i]
			p.recordAudit(ctx, auditor.Entry{
				Actor: set.Author, Action: "accept", Subject: SetPrefix + set.Operation, Reason: editNames(&set.Set),
				From: c.head.Version, To: c.next.Version,
			})
		}
	}
	if !c.committed && c.head.Version > 0 {
		return
	}
	for i := range c.plan.refused {
		refusal := &c.plan.refused[i]
		if refusal.Time == 0 {
			continue // the list of refusals was not written
		}
		p.options.Log.Warn("publisher: refused", zap.String("operation", refusal.Operation),
			zap.Int("code", int(refusal.Code)), zap.String("subject", refusal.Subject),
			zap.String("field", refusal.Field), zap.String("reason", refusal.Reason))
		p.recordAudit(ctx, auditor.Entry{
			Actor: refusal.Author, Action: "refuse", Subject: refusal.Subject, Code: refusal.Code,
			Reason: refusal.Operation + " " + refusal.Field + ": " + refusal.Reason, From: c.head.Version, To: c.head.Version,
		})
	}
}

// recordAudit adds the time and a missing actor, which is this node, to an audit entry and records it.
func (p *Publisher) recordAudit(ctx context.Context, entry auditor.Entry) {
	if p.options.Audit == nil {
		return
	}
	if entry.Actor == "" {
		entry.Actor = p.options.Node
	}
	entry.Time = p.options.Clock.Now()
	p.options.Audit.Record(ctx, entry)
}

// editNames returns the names of the edited sources, separated by spaces.
func editNames(set *Set) string {
	text := ""
	for i := range set.Edits {
		if i > 0 {
			text += " "
		}
		text += set.Edits[i].Name
	}
	return text
}

// Sources returns the sources with all accepted sets applied. Deleted sources are left out.
func (p *Publisher) Sources(ctx context.Context) ([]compiler.Source, error) {
	snapshot, err := p.options.Platform.List(ctx, connector.KindSource)
	if err != nil {
		return nil, err
	}
	head, err := p.Head(ctx)
	if err != nil && classifier.CodeOf(err) != classifier.CodeObjectMissing {
		return nil, err
	}
	accepted := make([]connector.Object, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		id, isSet := operationOf(object.Name)
		if decided := head.operation(id); !isSet || (decided != nil && decided.Code == classifier.CodeOK) {
			accepted = append(accepted, object)
		}
	}
	return Resolve(connector.Snapshot{Revision: snapshot.Revision, Objects: accepted}, head.Operations).Sources, nil
}

// Head returns the published head, or an error with CodeObjectMissing before the first version.
func (p *Publisher) Head(ctx context.Context) (Head, error) {
	object, err := p.options.Platform.Get(ctx, connector.KindHead, HeadName)
	if err != nil {
		return Head{}, err
	}
	return DecodeHead(object.Value)
}
