package registrar

import (
	"slices"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxRivals bounds the rivals that are remembered.
const maxRivals = 4

// followingHeartbeats is the number of heartbeats in a row by which a start replaces one that has not been confirmed or
// that is leaving.
const followingHeartbeats = 2

// rival is a start of the upstream beside the current one. One of the two is that of an earlier process, or of another
// writer whose heartbeats cannot be told from those of the upstream.
type rival struct {
	Heartbeat
	heartbeats int         // since the last one of the current start
	saved      *startState // its state, if it was the current start before
	contested  bool        // a health check is to decide
	checks     int         // health checks since the last heartbeat
	denied     bool        // a health check named the current start
}

// startState is the state of a start that is not the current one any more.
type startState struct {
	state                 State
	down, draining        bool
	foundAt, limitedSince timekeeper.Millis
	leftAt                timekeeper.Millis
}

// considerRival handles a heartbeat of another start than the current one, and reports whether that start is to replace
// the current one. A later start replaces one that has ended, and also one that has not, unless it is leaving: callers
// should not wait after a restart. The former start returns when a health check or its next heartbeats show that it has
// not ended.
func (r *Registrar) considerRival(b *Heartbeat) bool {
	v := r.rivalOf(b.ID, b.Incarnation)
	if v == nil {
		v = &rival{}
		r.addRival(v)
	} else if b.Sequence <= v.Sequence {
		return false
	}
	v.Heartbeat = *b
	v.heartbeats++
	v.checks = 0
	replaces := r.replacedBy(v)
	v.contested = !replaces && !v.denied
	return replaces
}

// replacedBy reports whether the heartbeats of a rival make it the current start.
func (r *Registrar) replacedBy(v *rival) bool {
	later, returns := v.Incarnation > r.state.Incarnation, v.saved != nil && !r.confirmed
	switch {
	case later && (r.down || !r.heartbeatAccepted):
		return true
	case v.denied:
		return false
	case later && v.saved == nil && !r.draining, returns && v.Leaving:
		return true
	case later, returns:
		return v.heartbeats >= followingHeartbeats
	case r.draining:
		return false // late heartbeats of an earlier process must not end a departure; a health check decides
	}
	return v.heartbeats >= verifyingHeartbeats
}

// replaceStart makes the start of a heartbeat the current one. The former one becomes its rival unless it deregistered.
func (r *Registrar) replaceStart(now timekeeper.Millis, b *Heartbeat) {
	former := &startState{
		state: r.state, down: r.down, draining: r.draining, foundAt: r.foundAt, limitedSince: r.limitedSince,
		leftAt: r.leftAt,
	}
	returning := r.rivalOf(b.ID, b.Incarnation)
	r.rivals = slices.DeleteFunc(r.rivals, func(v *rival) bool { return v == returning })
	if r.heartbeatAccepted {
		r.restarts.Add(1)
		r.verification.passed = true // the upstream restarted while this process was running
		if !r.down || !r.draining {
			r.addRival(&rival{Heartbeat: r.state.Heartbeat, saved: former, contested: !r.down})
		}
	}
	r.known, r.heartbeatAccepted, r.confirmed = true, true, false
	if returning != nil && returning.saved != nil {
		r.state, r.foundAt, r.limitedSince = returning.saved.state, returning.saved.foundAt, returning.saved.limitedSince
		r.down, r.draining, r.leftAt = returning.saved.down, returning.saved.draining, returning.saved.leftAt
		r.options.Logger.Warn("upstream found again", zap.String("instance", b.ID), zap.Uint64("born", b.Incarnation),
			zap.String("other_instance", former.state.ID), zap.Uint64("other_born", former.state.Incarnation))
		return
	}
	r.foundAt = now
	r.down, r.draining = false, false
	r.state.Responded, r.state.Limit = false, admitter.Limit{}
	r.state.ColdStartEnd = 0
	r.options.Logger.Info("upstream found", zap.String("instance", b.ID), zap.Uint64("born", b.Incarnation),
		zap.Int("slots", b.Slots))
}

// confirm notes a heartbeat of the current start. It confirms the start if none of a rival came since the one before.
func (r *Registrar) confirm() {
	silent := true
	for _, v := range r.rivals {
		silent = silent && v.heartbeats == 0
		v.heartbeats = 0
	}
	if !silent {
		return
	}
	r.confirmed = true
	for _, v := range r.rivals {
		v.contested = false
	}
}

// rivalOf returns the rival with an id and a start, or nil.
func (r *Registrar) rivalOf(id string, incarnation uint64) *rival {
	for _, v := range r.rivals {
		if v.ID == id && v.Incarnation == incarnation {
			return v
		}
	}
	return nil
}

// sharesID reports whether a rival has the id of the current start.
func (r *Registrar) sharesID() bool {
	return slices.ContainsFunc(r.rivals, func(v *rival) bool { return v.ID == r.state.ID })
}

// addRival adds a rival, and forgets another one if there are too many: if possible, one that was never the current
// start.
func (r *Registrar) addRival(added *rival) {
	if len(r.rivals) >= maxRivals {
		i := max(slices.IndexFunc(r.rivals, func(v *rival) bool { return v.saved == nil }), 0)
		r.rivals = slices.Delete(r.rivals, i, i+1)
	}
	r.rivals = append(r.rivals, added)
}

// contest returns a rival about which a health check is to decide, or nil.
func (r *Registrar) contest() *rival {
	for _, v := range r.rivals {
		if v.contested && v.checks < healthAttempts {
			return v
		}
	}
	return nil
}

// settle lets a health check that was sent at a time decide between the current start and its rivals, and reports
// whether one replaced it. A start with the same id is told apart only while the current one is leaving, and only by a
// check that was sent since: the current one may have made an earlier response.
func (r *Registrar) settle(now timekeeper.Millis, health *Health, sent timekeeper.Millis) bool {
	for _, v := range r.rivals {
		if !v.contested {
			continue
		}
		sameID := v.ID == r.state.ID
		leavingBefore := sameID && r.draining && sent > r.leftAt
		named := health.ID == v.ID && (!sameID && (health.Ready || v.saved != nil) || leavingBefore && health.Ready)
		switch {
		case named:
			r.replaceBy(now, v)
			return true
		case sameID:
			v.contested = r.draining
		case health.ID == r.state.ID:
			r.confirmed = r.confirmed || !r.sharesID()
			v.denied, v.contested = true, false
			r.options.Logger.Warn("heartbeats of another start are ignored", zap.String("instance", v.ID),
				zap.Uint64("born", v.Incarnation), zap.String("answered", health.ID))
		}
	}
	return false
}

// replaceBy makes a rival that a health check named the current start.
func (r *Registrar) replaceBy(now timekeeper.Millis, v *rival) {
	b := v.Heartbeat
	r.replaceStart(now, &b)
	if b.Leaving {
		r.leave(now)
	}
	r.state.Heartbeat = b
	r.state.ColdStartEnd = max(r.state.ColdStartEnd, now+b.ColdStart)
	r.lastHeartbeat = now
	r.confirmed = !r.sharesID()
	for _, other := range r.rivals {
		other.denied, other.contested = other.ID != b.ID, false
	}
	r.publish()
}
