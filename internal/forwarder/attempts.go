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
	// attemptGrace is how long an attempt is kept after its deadline. A request that a stalled connection delivers
	// later is refused for its deadline; the grace covers the clock skew between the two nodes.
	attemptGrace = 10 * timekeeper.Second
	// maxFences bounds the attempts per shard that were refused before they arrived.
	maxFences = 4096
)

// State is the state of an attempt at its host node.
type State string

// States of an attempt.
const (
	// StateAbsent means that the attempt has not arrived.
	StateAbsent State = "absent"
	// StateQueued means that the attempt waits for admission.
	StateQueued State = "queued"
	// StateRunning means that the attempt is running on the upstream.
	StateRunning State = "running"
	// StateDone means that the attempt ended and its response was handed to the connection.
	StateDone State = "done"
	// StateUnknown means that an earlier process of the node may have received the attempt.
	StateUnknown State = "lost"
	// StateNotRun means that the attempt did not run and never will.
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

// String returns the value of the Jasmine-Answers header.
func (k attemptKey) String() string {
	return k.id + " " + strconv.FormatUint(k.token, 16) + " " + strconv.Itoa(k.number)
}

type trackedAttempt struct {
	state          State
	code           classifier.Code
	cancel         func()
	expires        timekeeper.Millis
	isolationKey   isolator.Key
	restartsBefore uint64 // number of restarts of the upstream before the run
}

// attempts is the sharded table of the current and recent attempts at a host node.
type attempts struct {
	shards [attemptShards]attemptShard
}

type attemptShard struct {
	mutex  sync.Mutex
	table  map[attemptKey]*trackedAttempt
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
		a.shards[i].table = make(map[attemptKey]*trackedAttempt)
	}
	return a
}

func (a *attempts) lock(key attemptKey) *attemptShard {
	s := &a.shards[xxhash.Sum64String(key.id)%attemptShards]
	s.mutex.Lock()
	return s
}

// begin registers an attempt that arrived. It fails if the attempt was refused before or has already arrived.
func (a *attempts) begin(now timekeeper.Millis, key attemptKey, added *trackedAttempt) error {
	s := a.lock(key)
	defer s.mutex.Unlock()
	s.expire(now)
	if found := s.table[key]; found != nil {
		if found.state == StateNotRun {
			return classifier.Refuse(classifier.CodeCanceled, key.id, "the entry node abandoned the attempt")
		}
		return classifier.Unknown(classifier.CodeDuplicateRunning, key.id, "the attempt has already arrived")
	}
	added.state = StateQueued
	s.table[key] = added
	return nil
}

// start moves a queued attempt to running; false if it was refused in the meantime.
func (a *attempts) start(key attemptKey, restartsBefore uint64) bool {
	s := a.lock(key)
	defer s.mutex.Unlock()
	found := s.table[key]
	if found == nil || found.state != StateQueued {
		return false
	}
	found.state, found.restartsBefore = StateRunning, restartsBefore
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

// query returns the state of an attempt. With fence, an attempt that has not started is refused from now on.
func (a *attempts) query(now timekeeper.Millis, key attemptKey, deadline timekeeper.Millis, fence bool) (
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
		found = &trackedAttempt{state: StateNotRun, code: classifier.CodeUpstreamUnreached, expires: deadline + attemptGrace}
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

// expire removes expired attempts, at most once a second.
func (s *attemptShard) expire(now timekeeper.Millis) {
	if now < s.next {
		return
	}
	s.next = now + timekeeper.Second
	kept := s.ended[:0]
	s.fences = 0
	for _, candidate := range s.ended {
		if candidate.expires > now {
			kept = append(kept, candidate)
			if s.table[candidate.key].state == StateNotRun {
				s.fences++
			}
			continue
		}
		delete(s.table, candidate.key)
	}
	s.ended = kept
}

// suspects returns the keys of the requests that were running before the upstream reached the given number of restarts.
func (a *attempts) suspects(restarts uint64) []isolator.Key {
	var keys []isolator.Key
	for i := range a.shards {
		s := &a.shards[i]
		s.mutex.Lock()
		for _, tracked := range s.table {
			if tracked.state == StateRunning && tracked.restartsBefore < restarts {
				keys = append(keys, tracked.isolationKey)
			}
		}
		s.mutex.Unlock()
	}
	return keys
}
