package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a node that falls back after its restart while the platform is down: it asks members that have not
// got the version. Without the majority of the start-up rule it does.
func TestRestartWithoutPlatformKeepsFloor(t *testing.T) {
	for _, off := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := startMesh(t, 1, 5, switches{})
			m.nodes[4].pause(true) // misses the second version
			second := m.publish(2)
			if _, ok := m.await(second, 3*timekeeper.Second); !ok {
				t.Fatal("second version is not in force")
			}
			m.platformDown(true)
			for _, i := range []int{0, 1, 2, 3} {
				m.nodes[i].pause(i != 3)
			}
			m.nodes[4].pause(false)
			restarted := m.nodes[3]
			restarted.off.floor = off
			restarted.kill()
			restarted.start()
			<-time.After(20 * time.Second)
			if back := restarted.follower.Ready(); back != off {
				t.Errorf("floor off %v: ready with version %d after %d was in force is %v", off,
					restarted.follower.ActiveVersion(), second, back)
			}
			for _, p := range m.nodes {
				p.pause(false)
			}
			<-time.After(20 * time.Second)
			if !off && (!restarted.follower.Ready() || restarted.follower.ActiveVersion() < second) {
				t.Errorf("ready %v with version %d, want %d", restarted.follower.Ready(), restarted.follower.ActiveVersion(),
					second)
			}
		})
	}
}

// Guards against a relay that puts a version in force alone: after its restart without the platform no member can tell
// that it had it. Without the majority rule the node goes back.
func TestVersionNeedsMajority(t *testing.T) {
	for _, off := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := startMesh(t, 1, 5, switches{})
			relay := m.nodes[0]
			relay.relayer.off.majority = off
			for _, p := range m.nodes[1:] {
				p.pause(true)
				p.cutOff(true)
			}
			m.publish(2)
			<-time.After(4 * time.Second)
			before := relay.follower.ActiveVersion()
			m.platformDown(true)
			relay.kill()
			for _, p := range m.nodes[1:] {
				p.pause(false)
			}
			relay.start()
			<-time.After(20 * time.Second)
			if !relay.follower.Ready() {
				t.Fatal("relay is not ready")
			}
			if back := relay.follower.ActiveVersion() < before; back != off {
				t.Errorf("majority off %v: had version %d, has %d", off, before, relay.follower.ActiveVersion())
			}
		})
	}
}

// Guards against a whole data centre that restarts without the platform and takes an unconfirmed version for the
// floor: it must wait.
func TestWholeDataCentreWaitsForPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMesh(t, 1, 5, switches{})
		version := m.view.Version
		m.platformDown(true)
		for _, p := range m.nodes {
			p.kill()
		}
		m.startAll()
		<-time.After(30 * time.Second)
		for _, p := range m.nodes {
			if p.follower.Ready() {
				t.Errorf("%s is ready", p.member.Name)
			}
		}
		m.platformDown(false)
		if passed, ok := m.await(version, 12*timekeeper.Second); !ok {
			t.Errorf("version is not in force %d ms after the platform is back", passed)
		}
	})
}

// Guards against a version that goes back on any node, over restarts, pauses, platform outages and lost, duplicated and
// delayed messages, and against a view that is not the published one.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, 1, 5)
			m.loss = rapid.Float64Range(0, 0.3).Draw(r, "loss")
			m.startAll()
			digests := map[uint64]string{}
			publish := func() { digests[m.publish(2)] = m.view.Digest }
			publish()
			highest := make(map[*peer]uint64)
			down := false
			for range rapid.IntRange(5, 25).Draw(r, "steps") {
				p := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(r, "node")]
				switch rapid.SampledFrom([]string{"publish", "restart", "pause", "resume", "platform"}).Draw(r, "step") {
				case "publish":
					if !down {
						publish()
					}
				case "restart":
					p.kill()
					p.start()
				case "pause": // any part of the nodes, so that minorities remain
					for _, p := range m.nodes {
						p.pause(rapid.Bool().Draw(r, "paused"))
					}
				case "resume":
					for _, p := range m.nodes {
						p.pause(false)
					}
				case "platform":
					down = !down
					m.platformDown(down)
				}
				for range rapid.IntRange(1, 60).Draw(r, "span") {
					<-time.After(50 * time.Millisecond)
					for _, p := range m.nodes {
						view := p.follower.Active()
						if view == nil || !p.follower.Ready() {
							continue
						}
						if view.Version < highest[p] || view.Digest != digests[view.Version] || len(view.Accounts) != 2 {
							t.Fatalf("%s has version %d (%s) after %d", p.member.Name, view.Version, view.Digest, highest[p])
						}
						highest[p] = view.Version
					}
				}
			}
			m.platformDown(false)
			m.mutex.Lock()
			m.loss = 0
			m.mutex.Unlock()
			for _, p := range m.nodes {
				p.pause(false)
			}
			publish()
			if passed, ok := m.await(m.view.Version, 15*timekeeper.Second); !ok {
				t.Fatalf("last version is not in force %d ms after all failures ended", passed)
			}
		})
	})
}
