package forwarder

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	attemptShards = 32
	// attemptGrace is how long an attempt is remembered after its deadline. A request that a silent connection delivers
	// later than that is refused by its deadline; the grace covers the difference of two clocks.
	attemptGrace = 10 * timekeeper.Second
	// maxFences bounds the attempts per shard that were refused before they arrived.
	maxFences = 4096
)

// State is what a host node knows of an attempt.
type State string

// States of an attempt.
const (
	// StateAbsent did not arrive.
	StateAbsent State = "absent"
	// StateQueued waits for admission.
	StateQueued State = "queued"
	// StateRunning is on the upstream.
	StateRunning State = "running"
	// StateDone has its end, and the response was handed to the connection.
	StateDone State = "done"
	// StateLost may have been at an earlier process of the node.
	StateLost State = "lost"
	// StateNotRun did not run and never will.
	StateNotRun State = "notrun"
)

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	id     string
	token  uint64
	number int
}

func (j *job) key() attemptKey {
	return attemptKey{j.ID, j.Token, j.Attempt}
}

// String returns the form in the Jasmine-Answers header.
func (k attemptKey) String() string {
	return k.id + " " + strconv.FormatUint(k.token, 16) + " " + strconv.Itoa(k.number)
}

type attempt struct {
	state      State
	code       classifier.Code
	cancel     func()
	expires    timekeeper.Millis
	suspect    isolator.Key
	generation uint64 // restarts of the upstream seen before the run
}

// attempts is the table of the attempts that a host node holds or held a moment ago, in shards.
type attempts struct {
	shards [attemptShards]attemptShard
}

type attemptShard struct {
	mutex  sync.Mutex
	table  map[attemptKey]*attempt
	ended  []endedAttempt
	next   timekeeper.Millis // time of the next expiry
	fences int
}

type endedAttempt struct {
	key     attemptKey
	expires timekeeper.Millis
}

func newAttempts() *attempts {
	a := &attempts{}
	for i := range a.shards {
		a.shards[i].table = make(map[attemptKey]*attempt)
	}
	return a
}

func (a *attempts) lock(key attemptKey) *attemptShard {
	s := &a.shards[xxhash.Sum64String(key.id)%attemptShards]
	s.mutex.Lock()
	return s
}

// begin registers an attempt that arrived. It fails when the attempt was refused before or arrives a second time.
func (a *attempts) begin(now timekeeper.Millis, key attemptKey, added *attempt) error {
	s := a.lock(key)
	defer s.mutex.Unlock()
	s.expire(now)
	if found := s.table[key]; found != nil {
		if found.state == StateNotRun {
			return classifier.Refuse(classifier.CodeCanceled, key.id, "the entry node gave the attempt up")
		}
		return classifier.Unknown(classifier.CodeDuplicateRunning, key.id, "the attempt arrived before")
	}
	added.state = StateQueued
	s.table[key] = added
	return nil
}

// start moves a queued attempt to running; false when it was refused meanwhile.
func (a *attempts) start(key attemptKey, generation uint64) bool {
	s := a.lock(key)
	defer s.mutex.Unlock()
	found := s.table[key]
	if found == nil || found.state != StateQueued {
		return false
	}
	found.state, found.generation = StateRunning, generation
	return true
}

// end records how an attempt ended.
func (a *attempts) end(key attemptKey, state State, code classifier.Code) {
	s := a.lock(key)
	defer s.mutex.Unlock()
	found := s.table[key]
	if found == nil {
		return
	}
	if found.state != StateNotRun {
		found.state, found.code = state, code
	}
	found.cancel = nil
	s.ended = append(s.ended, endedAttempt{key, found.expires})
}

// look returns the state of an attempt. With fence, one that did not start is refused from now on.
func (a *attempts) look(now timekeeper.Millis, key attemptKey, deadline timekeeper.Millis, fence bool) (
	State, classifier.Code,
) {
	s := a.lock(key)
	defer s.mutex.Unlock()
	found := s.table[key]
	if !fence {
		if found == nil {
			return StateAbsent, classifier.CodeOK
		}
		return found.state, found.code
	}
	if found == nil {
		s.expire(now)
		if s.fences >= maxFences {
			return StateAbsent, classifier.CodeOK
		}
		s.fences++
		found = &attempt{state: StateNotRun, code: classifier.CodeUpstreamUnreached, expires: deadline + attemptGrace}
		s.table[key] = found
		s.ended = append(s.ended, endedAttempt{key, found.expires})
	}
	if found.state == StateQueued {
		found.state, found.code = StateNotRun, classifier.CodeUpstreamUnreached
		if found.cancel != nil {
			found.cancel()
		}
	}
	return found.state, found.code
}

// expire forgets ended attempts, once a second.
func (s *attemptShard) expire(now timekeeper.Millis) {
	if now < s.next {
		return
	}
	s.next = now + timekeeper.Second
	kept := s.ended[:0]
	s.fences = 0
	for _, one := range s.ended {
		if one.expires > now {
			kept = append(kept, one)
			if s.table[one.key].state == StateNotRun {
				s.fences++
			}
			continue
		}
		delete(s.table, one.key)
	}
	s.ended = kept
}

// suspects returns the keys of the requests that ran on the upstream before it ended for the given time.
func (a *attempts) suspects(generation uint64) []isolator.Key {
	var keys []isolator.Key
	for i := range a.shards {
		s := &a.shards[i]
		s.mutex.Lock()
		for _, one := range s.table {
			if one.state == StateRunning && one.generation < generation {
				keys = append(keys, one.suspect)
			}
		}
		s.mutex.Unlock()
	}
	return keys
}
