package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Kinds of violations that a simulation detects, and its number of steps.
const (
	headRegressed         = "head moved to an older version or source revision"
	headInvalid           = "head cannot be read or lacks an account"
	sectionMissing        = "head refers to a missing section"
	competingSetsAccepted = "two sets of the same base revision were accepted"
	setPartlyApplied      = "a set was applied in part"
	decisionChanged       = "a decided set was decided again"
	foldChangedView       = "folding changed the view"
	neverPublished        = "sets or sources stay unpublished after all faults ended"
	stepsPerRun           = 200
)

// simulation runs publishers, operators and a garbage collector on a platform, interleaving their steps by a seed.
type simulation struct {
	random              *rand.Rand
	clock               *timekeeper.ManualClock
	platform            *faker.Platform
	faultsOff           bool // no faults while the simulation itself calls the platform
	directWrites        bool // sources are also written without sets
	collectPercent      int  // chance of garbage collection per step, in percent
	disabled            safeguards
	workers             []*worker
	delayedWrites       []action // writes that were reported as failed and take effect later
	collectingPublisher *Publisher
	collector           *garbageCollector
	sets                []Set
	bodies              map[string][]byte
	cache               *compiler.Cache
	observedRevision    uint64               // platform revision at the last observation
	decisions           map[string]Operation // by operation id
	acceptedEdits       map[string]string    // operation id by source name and base revision
	lastHead            Head
	violations          map[string]string // first detail by kind
}

// worker is one publisher in the middle of a cycle.
type worker struct {
	cycle     *cycle
	pending   action // requested but not carried out yet
	skipTurns int    // turns until the pause ends
}

func newSimulation(seed uint64, disabled safeguards, directWrites bool) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), clock: timekeeper.Manual(1), platform: faker.NewPlatform(),
		directWrites: directWrites, collectPercent: 4, disabled: disabled, collector: newGarbageCollector(),
		bodies:    make(map[string][]byte),
		decisions: make(map[string]Operation), acceptedEdits: make(map[string]string), violations: make(map[string]string),
	}
	s.collector.keepVersions, s.cache = 1, compiler.NewCache()
	s.collectingPublisher = New(Options{
		Platform: interleavedPlatform{s.platform, s}, Clock: s.clock.Clock(), Random: s.random,
	})
	s.collectingPublisher.disabled = disabled
	for range 2 + s.random.IntN(2) {
		s.workers = append(s.workers, s.startWorker())
	}
	s.platform.SetFault(func(faker.Operation) faker.Fault {
		if s.faultsOff {
			return faker.Fault{}
		}
		chance := s.random.IntN(100)
		return faker.Fault{Refuse: chance < 6, Lose: chance >= 6 && chance < 12}
	})
	return s
}

func (s *simulation) startWorker() *worker {
	c := newCycle(newStore(), s.disabled)
	c.store.cache = s.cache // holds decoded sources only, and sharing it saves most of the time
	return &worker{cycle: c, pending: c.step(s.clock.Clock().Now(), started{})}
}

// run executes the simulation and returns the violations that it detected.
func (s *simulation) run() map[string]string {
	s.submit(Set{Edits: []Edit{
		{Name: "template.shop", Value: testTemplate},
		{Name: "account.a", Value: testAccountWithMark("a", 0)},
		{Name: "account.b", Value: testAccountWithMark("b", 0)},
	}})
	for range stepsPerRun {
		switch chance := s.random.IntN(100); {
		case chance < 14:
			s.actAsOperator()
		case chance < 14+s.collectPercent:
			s.collect()
		default:
			s.stepWorker()
		}
		s.observe()
	}
	s.finish()
	return s.violations
}

// stepWorker lets one publisher carry out one action, pause or crash.
func (s *simulation) stepWorker() {
	i := s.random.IntN(len(s.workers))
	chosen := s.workers[i]
	if chosen.skipTurns > 0 {
		chosen.skipTurns--
		return
	}
	switch s.random.IntN(40) {
	case 0:
		chosen.skipTurns = s.random.IntN(30)
		return
	case 1:
		s.workers[i] = s.startWorker()
		return
	}
	reply := s.perform(context.Background(), chosen.pending)
	chosen.pending = chosen.cycle.step(s.clock.Clock().Now(), reply)
	if _, ended := chosen.pending.(finish); ended {
		chosen.cycle = newCycle(chosen.cycle.store, s.disabled)
		chosen.pending = chosen.cycle.step(s.clock.Clock().Now(), started{})
	}
}

// perform carries out an action, or delays a write and reports that the platform did not reply. It sometimes lets a
// delayed write take effect first.
func (s *simulation) perform(ctx context.Context, request action) event {
	if len(s.delayedWrites) > 0 && s.random.IntN(20) == 0 {
		_ = perform(ctx, s.platform, s.delayedWrites[0])
		s.delayedWrites = s.delayedWrites[1:]
	}
	switch request.(type) {
	case putObject, deleteObject:
		if s.random.IntN(25) == 0 {
			s.delayedWrites = append(s.delayedWrites, request)
			return wrote{err: classifier.New(classifier.CodeUnavailable, "platform", "no answer by the deadline")}
		}
	}
	return perform(ctx, s.platform, request)
}

// interleavedPlatform is the garbage collector's access to the platform: publishers act before each of its calls.
type interleavedPlatform struct {
	connector.Platform // not used directly
	simulation         *simulation
}

func (p interleavedPlatform) runPublishers() *faker.Platform {
	for range p.simulation.random.IntN(6) {
		p.simulation.stepWorker()
	}
	return p.simulation.platform
}

func (p interleavedPlatform) Get(ctx context.Context, kind, name string) (connector.Object, error) {
	return p.runPublishers().Get(ctx, kind, name)
}

func (p interleavedPlatform) List(ctx context.Context, kind string) (connector.Snapshot, error) {
	return p.runPublishers().List(ctx, kind)
}

func (p interleavedPlatform) Put(ctx context.Context, object connector.Object) (uint64, error) {
	_ = p.runPublishers()
	reply, _ := p.simulation.perform(ctx, putObject{object: object}).(wrote)
	return reply.revision, reply.err
}

func (p interleavedPlatform) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_ = p.runPublishers()
	object := connector.Object{Kind: kind, Name: name, Revision: revision}
	reply, _ := p.simulation.perform(ctx, deleteObject{object: object}).(wrote)
	return reply.err
}

func (s *simulation) collect() {
	s.clock.Advance(timekeeper.Millis(30+s.random.IntN(60)) * timekeeper.Minute)
	_ = s.collectingPublisher.collect(context.Background(), s.collector)
}

// testAccountWithMark returns an account whose host contains a mark. Every valid set that edits accounts a and b gives
// both the same mark, so that different marks show a set applied in part.
func testAccountWithMark(name string, mark int) string {
	return fmt.Sprintf("account: %s\ntemplate: shop\nhost: %s-%d.example\n", name, name, mark)
}

// actAsOperator lets an operator submit a set, repeat an old one, or write a source directly.
func (s *simulation) actAsOperator() {
	sources := make(map[string]connector.Object)
	for _, object := range s.list() {
		sources[object.Name] = object
	}
	base := func(name string) uint64 {
		revision := sources[name].Revision
		if s.random.IntN(4) == 0 { // an older base, or one of another source
			return revision - min(revision, uint64(s.random.IntN(20)))
		}
		return revision
	}
	mark := s.random.IntN(4)
	edits := []Edit{
		{Name: "account.a", Value: testAccountWithMark("a", mark), Base: base("account.a")},
		{Name: "account.b", Value: testAccountWithMark("b", mark), Base: base("account.b")},
	}
	switch s.random.IntN(9) {
	case 0:
		set := s.sets[s.random.IntN(len(s.sets))]
		set.Edits = append([]Edit(nil), set.Edits...)
		for i := range set.Edits { // as a submitter does for a source that was deleted
			set.Edits[i].Base = sources[set.Edits[i].Name].Revision
		}
		s.put(set)
	case 1:
		edits[s.random.IntN(2)].Value = "account: wrong\n"
		s.submit(Set{Edits: edits})
	case 2:
		edit := Edit{Name: "account.c", Value: testAccountWithMark("c", mark), Base: sources["account.c"].Revision}
		if len(sources["account.c"].Value) > 0 && s.random.IntN(2) == 0 {
			edit.Value, edit.Delete = "", true
		}
		s.submit(Set{Edits: []Edit{edit}})
	case 3:
		s.writeDirectly(sources["template.shop"])
	case 4:
		s.submit(Set{Edits: edits})
		edits[0].Value, edits[1].Value = testAccountWithMark("a", mark+1), testAccountWithMark("b", mark+1)
		s.submit(Set{Edits: edits})
	default:
		s.submit(Set{Edits: edits})
	}
}

// writeDirectly breaks or repairs the template without a set.
func (s *simulation) writeDirectly(template connector.Object) {
	if !s.directWrites || template.Revision == 0 {
		return
	}
	template.Value = []byte(testTemplate)
	if s.random.IntN(2) == 0 {
		template.Value = []byte(strings.Replace(testTemplate, "order: 1", "order: 99", 1))
	}
	s.faultsOff = true
	_, _ = s.platform.Put(context.Background(), template)
	s.faultsOff = false
}

func (s *simulation) submit(set Set) {
	set.Operation = fmt.Sprintf("op-%d", len(s.sets))
	set.Edits = append([]Edit(nil), set.Edits...)
	s.sets = append(s.sets, set)
	s.put(set)
}

func (s *simulation) put(set Set) {
	content, _ := json.Marshal(set)
	s.faultsOff = true
	_, _ = s.platform.Put(context.Background(), connector.Object{
		Kind: connector.KindSource, Name: SetPrefix + set.Operation, Value: content,
	})
	s.faultsOff = false
}

func (s *simulation) list() []connector.Object {
	s.faultsOff = true
	defer func() { s.faultsOff = false }()
	snapshot, _ := s.platform.List(context.Background(), connector.KindSource)
	return snapshot.Objects
}

func (s *simulation) recordViolation(kind, format string, arguments ...any) {
	if _, ok := s.violations[kind]; !ok {
		s.violations[kind] = fmt.Sprintf(format, arguments...)
	}
}
