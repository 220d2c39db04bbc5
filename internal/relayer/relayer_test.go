package relayer

import (
	"testing"
	"testing/synctest"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Guards against versions that do not reach every node in time, without failures and with a paused or killed relay.
func TestVersionIsInForceEverywhere(t *testing.T) {
	for name, fail := range map[string]func(p *peer){
		"no failure": func(*peer) {},
		"paused":     func(p *peer) { p.pause(true) },
		"killed":     func(p *peer) { p.kill(tracker.HealthFailed) },
		"suspected":  func(p *peer) { p.pause(true); p.setHealth(tracker.HealthSuspect) },
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, 3, 10)
			m.startAll()
			if passed, ok := m.await(m.publish(3), 5*timekeeper.Second); !ok {
				t.Fatalf("%s: first version is not in force after %d ms", name, passed)
			}
			fail(m.nodes[0])
			passed, ok := m.await(m.publish(3), 3*timekeeper.Second)
			if !ok {
				t.Errorf("%s: version is not in force after %d ms", name, passed)
			}
			t.Logf("%s: %d ms", name, passed)
		})
	}
}
