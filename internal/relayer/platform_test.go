package relayer

import (
	"context"
	"fmt"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// peerPlatform is the platform as reached by one peer.
type peerPlatform struct {
	connector.Platform
	peer *peer
}

func (a peerPlatform) checkReachable(kind string) error {
	a.peer.mesh.mutex.Lock()
	defer a.peer.mesh.mutex.Unlock()
	if a.peer.platformCut || a.peer.paused {
		return classifier.New(classifier.CodeUnavailable, kind, "platform cannot be reached")
	}
	return nil
}

func (a peerPlatform) Get(ctx context.Context, kind, name string) (connector.Object, error) {
	if err := a.checkReachable(kind); err != nil {
		return connector.Object{}, err
	}
	return a.Platform.Get(ctx, kind, name)
}

func (a peerPlatform) List(ctx context.Context, kind string) (connector.Snapshot, error) {
	if err := a.checkReachable(kind); err != nil {
		return connector.Snapshot{}, err
	}
	return a.Platform.List(ctx, kind)
}

func (a peerPlatform) Watch(
	ctx context.Context, kind string, after uint64, wait timekeeper.Millis,
) (connector.Snapshot, error) {
	if err := a.checkReachable(kind); err != nil {
		return connector.Snapshot{}, err
	}
	snapshot, err := a.Platform.Watch(ctx, kind, after, wait)
	if err == nil {
		err = a.checkReachable(kind)
	}
	return snapshot, err
}

func (p *peer) setPlatformCut(platformCut bool) {
	p.mesh.mutex.Lock()
	defer p.mesh.mutex.Unlock()
	p.platformCut = platformCut
}

// publish writes the next version to the platform and returns its number.
func (m *mesh) publish(accounts int) uint64 {
	m.t.Helper()
	return m.publishHead(accounts, func(*publisher.Head) {})
}

func (m *mesh) publishHead(accounts int, change func(*publisher.Head)) uint64 {
	m.t.Helper()
	previous := m.view
	next := compiler.View{Version: previous.Version + 1, Services: []compiler.Service{}}
	for i := range accounts {
		next.Accounts = append(next.Accounts, compiler.Account{
			Name: fmt.Sprintf("account-%03d", i), Host: fmt.Sprintf("v%d-%d.example", next.Version, i),
			Ranks: []compiler.Rank{}, Calls: []compiler.Call{}, Services: []string{},
		})
	}
	manifest, bodies, err := compiler.Sections(&next)
	if err != nil {
		m.t.Fatal(err)
	}
	next.Digest = compiler.ManifestDigest(manifest)
	delta, err := compiler.Delta(&previous, &next)
	if err != nil {
		m.t.Fatal(err)
	}
	ctx := context.Background()
	for digest, body := range bodies {
		_, _ = m.platform.Put(ctx, connector.Object{Kind: connector.KindSection, Name: digest, Value: body})
	}
	head := publisher.Head{
		Format: publisher.HeadFormat, Version: next.Version, Digest: next.Digest, Manifest: manifest,
		Base: previous.Version, Delta: delta,
	}
	if previous.Version == 0 {
		head.Delta = nil
	}
	change(&head)
	value, err := head.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	var revision uint64
	if stored, err := m.platform.Get(ctx, connector.KindHead, publisher.HeadName); err == nil {
		revision = stored.Revision
	}
	object := connector.Object{Kind: connector.KindHead, Name: publisher.HeadName, Value: value, Revision: revision}
	if _, err := m.platform.Put(ctx, object); err != nil {
		m.t.Fatal(err)
	}
	m.view = next
	return next.Version
}
