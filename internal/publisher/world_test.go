package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Kinds of violations that a world can see.
const (
	olderHead    = "head moved to an older version or source revision"
	brokenHead   = "head cannot be read or lacks an account"
	lostSection  = "head refers to a missing section"
	twoWinners   = "two sets of the same base revision were accepted"
	partialSet   = "a set was applied in part"
	changedFate  = "a decided set was decided again"
	changedView  = "folding changed the view"
	stuckAtEnd   = "sets or sources stay unpublished after all faults ended"
	allowedTurns = 200
)

// world is a platform with publishers, operators and a garbage collector whose steps are interleaved from a seed.
type world struct {
	random     *rand.Rand
	clock      *timekeeper.ManualClock
	platform   *faker.Platform
	quiet      bool // no faults while the world itself looks
	direct     bool // sources are also written without sets
	cleaning   int  // chance of garbage collection per turn, in percent
	off        mechanisms
	workers    []*worker
	cleaner    *Publisher
	garbage    *collector
	sets       []Set
	bodies     map[string][]byte
	cache      *compiler.Cache
	seen       uint64 // platform revision at the last observation
	fates      map[string]Operation
	winners    map[string]string
	last       Head
	violations map[string]string // first detail by kind
}

// worker is one publisher in the middle of a cycle.
type worker struct {
	cycle  *cycle
	wanted action
	paused int
}

func newWorld(seed uint64, off mechanisms, direct bool) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), clock: timekeeper.Manual(1), platform: faker.NewPlatform(),
		direct: direct, cleaning: 4, off: off, garbage: newCollector(), bodies: make(map[string][]byte),
		fates: make(map[string]Operation), winners: make(map[string]string), violations: make(map[string]string),
	}
	w.garbage.kept, w.cache = 1, compiler.NewCache()
	w.cleaner = New(Options{Platform: interleaved{w}, Clock: w.clock.Clock(), Random: w.random})
	w.cleaner.off = off
	for range 2 + w.random.IntN(2) {
		w.workers = append(w.workers, w.startWorker())
	}
	w.platform.SetFault(func(faker.Operation) faker.Fault {
		if w.quiet {
			return faker.Fault{}
		}
		chance := w.random.IntN(100)
		return faker.Fault{Refuse: chance < 6, Lose: chance >= 6 && chance < 12}
	})
	return w
}

func (w *world) startWorker() *worker {
	c := newCycle(newStore(), w.off)
	c.store.cache = w.cache // holds decoded sources only, and sharing it saves most of the time
	return &worker{cycle: c, wanted: c.step(w.clock.Clock().Now(), begun{})}
}

// run drives the world and returns the violations it saw.
func (w *world) run() map[string]string {
	w.submit(Set{Edits: []Edit{
		{Name: "template.shop", Value: testTemplate},
		{Name: "account.a", Value: marked("a", 0)},
		{Name: "account.b", Value: marked("b", 0)},
	}})
	for range allowedTurns {
		switch chance := w.random.IntN(100); {
		case chance < 14:
			w.operate()
		case chance < 14+w.cleaning:
			w.collect()
		default:
			w.turn()
		}
		w.observe()
	}
	w.finish()
	return w.violations
}

// turn lets one publisher carry out one action, pause or crash.
func (w *world) turn() {
	i := w.random.IntN(len(w.workers))
	chosen := w.workers[i]
	if chosen.paused > 0 {
		chosen.paused--
		return
	}
	switch w.random.IntN(40) {
	case 0:
		chosen.paused = w.random.IntN(30)
		return
	case 1:
		w.workers[i] = w.startWorker()
		return
	}
	reply := perform(context.Background(), w.platform, chosen.wanted)
	chosen.wanted = chosen.cycle.step(w.clock.Clock().Now(), reply)
	if _, ended := chosen.wanted.(finish); ended {
		chosen.cycle = newCycle(chosen.cycle.store, w.off)
		chosen.wanted = chosen.cycle.step(w.clock.Clock().Now(), begun{})
	}
}

// interleaved is the platform as the garbage collector sees it: publishers act between its calls.
type interleaved struct{ world *world }

func (p interleaved) between() *faker.Platform {
	for range p.world.random.IntN(6) {
		p.world.turn()
	}
	return p.world.platform
}

func (p interleaved) Get(ctx context.Context, kind, name string) (connector.Object, error) {
	return p.between().Get(ctx, kind, name)
}

func (p interleaved) List(ctx context.Context, kind string) (connector.Snapshot, error) {
	return p.between().List(ctx, kind)
}

func (p interleaved) Put(ctx context.Context, object connector.Object) (uint64, error) {
	return p.between().Put(ctx, object)
}

func (p interleaved) Delete(ctx context.Context, kind, name string, revision uint64) error {
	return p.between().Delete(ctx, kind, name, revision)
}

func (p interleaved) Watch(
	ctx context.Context, kind string, after uint64, wait timekeeper.Millis,
) (connector.Snapshot, error) {
	return p.between().Watch(ctx, kind, after, wait)
}

func (w *world) collect() {
	w.clock.Advance(timekeeper.Millis(30+w.random.IntN(60)) * timekeeper.Minute)
	_ = w.cleaner.collect(context.Background(), w.garbage)
}

// marked returns an account whose host carries a mark; sets give accounts a and b the same mark.
func marked(name string, mark int) string {
	return fmt.Sprintf("account: %s\ntemplate: shop\nhost: %s-%d.example\n", name, name, mark)
}

// operate lets an operator submit a set, repeat an old one, or write a source directly.
func (w *world) operate() {
	sources := make(map[string]connector.Object)
	for _, object := range w.list() {
		sources[object.Name] = object
	}
	base := func(name string) uint64 {
		revision := sources[name].Revision
		if w.random.IntN(4) == 0 { // an older base, or one of another source
			return revision - min(revision, uint64(w.random.IntN(20)))
		}
		return revision
	}
	mark := w.random.IntN(4)
	pair := []Edit{
		{Name: "account.a", Value: marked("a", mark), Base: base("account.a")},
		{Name: "account.b", Value: marked("b", mark), Base: base("account.b")},
	}
	switch w.random.IntN(9) {
	case 0:
		set := w.sets[w.random.IntN(len(w.sets))]
		set.Edits = append([]Edit(nil), set.Edits...)
		for i := range set.Edits { // as a submitter does for a source that was deleted
			set.Edits[i].Base = sources[set.Edits[i].Name].Revision
		}
		w.put(set)
	case 1:
		pair[w.random.IntN(2)].Value = "account: wrong\n"
		w.submit(Set{Edits: pair})
	case 2:
		edit := Edit{Name: "account.c", Value: marked("c", mark), Base: sources["account.c"].Revision}
		if len(sources["account.c"].Value) > 0 && w.random.IntN(2) == 0 {
			edit.Value, edit.Delete = "", true
		}
		w.submit(Set{Edits: []Edit{edit}})
	case 3:
		w.writeDirectly(sources["template.shop"])
	case 4:
		w.submit(Set{Edits: pair})
		pair[0].Value, pair[1].Value = marked("a", mark+1), marked("b", mark+1)
		w.submit(Set{Edits: pair})
	default:
		w.submit(Set{Edits: pair})
	}
}

// writeDirectly breaks or repairs the template without a set.
func (w *world) writeDirectly(template connector.Object) {
	if !w.direct || template.Revision == 0 {
		return
	}
	template.Value = []byte(testTemplate)
	if w.random.IntN(2) == 0 {
		template.Value = []byte(strings.Replace(testTemplate, "order: 1", "order: 99", 1))
	}
	w.quiet = true
	_, _ = w.platform.Put(context.Background(), template)
	w.quiet = false
}

func (w *world) submit(set Set) {
	set.Operation = fmt.Sprintf("op-%d", len(w.sets))
	set.Edits = append([]Edit(nil), set.Edits...)
	w.sets = append(w.sets, set)
	w.put(set)
}

func (w *world) put(set Set) {
	content, _ := json.Marshal(set)
	w.quiet = true
	_, _ = w.platform.Put(context.Background(), connector.Object{
		Kind: connector.KindSource, Name: SetPrefix + set.Operation, Value: content,
	})
	w.quiet = false
}

func (w *world) list() []connector.Object {
	w.quiet = true
	defer func() { w.quiet = false }()
	snapshot, _ := w.platform.List(context.Background(), connector.KindSource)
	return snapshot.Objects
}

func (w *world) violate(kind, format string, arguments ...any) {
	if _, ok := w.violations[kind]; !ok {
		w.violations[kind] = fmt.Sprintf(format, arguments...)
	}
}
