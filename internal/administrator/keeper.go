package administrator

import (
	"context"
	"crypto/subtle"
	"sync"

	"golang.org/x/time/rate"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// freshAge is how long a token is used without asking the platform again. A revoked token works this long.
	freshAge = 30 * timekeeper.Second
	// staleAge is how long a token is used while the platform does not answer. It bounds the use of a token that
	// was revoked just before an outage, and covers the usual length of an outage.
	staleAge = 60 * timekeeper.Minute
	// lookupTimeout bounds the wait for the platform, so that status answers soon in an outage.
	lookupTimeout = 2 * timekeeper.Second
	// retryAge is how long a cached token is used before the next question after one that got no answer.
	retryAge = 5 * timekeeper.Second
	// maxTokens bounds the cache.
	maxTokens = 4096
	// unknownRate and unknownBurst bound the platform calls for digests that are not in the cache, because
	// anybody who reaches the admin address can cause them.
	unknownRate, unknownBurst = 1, 10
)

// keeper finds out who holds a token. It caches tokens that exist, for a bounded time.
type keeper struct {
	platform connector.Platform
	clock    timekeeper.Clock
	operator string // digest of the bootstrap operator token
	unknown  *rate.Limiter

	mutex  sync.Mutex
	tokens map[string]cached // by digest
}

type cached struct {
	principal Principal
	confirmed timekeeper.Millis // when the platform last returned the token
	next      timekeeper.Millis // when to ask the platform again
}

func newKeeper(platform connector.Platform, clock timekeeper.Clock, operator string) *keeper {
	return &keeper{
		platform: platform,
		clock:    clock,
		operator: operator,
		unknown:  rate.NewLimiter(unknownRate, unknownBurst),
		tokens:   make(map[string]cached),
	}
}

// identify returns the holder of a token. The error has CodeTokenMissing, or a 5xx code if the platform is needed and
// does not answer.
func (k *keeper) identify(ctx context.Context, token string) (Principal, error) {
	if token == "" || len(token) > maxTokenBytes {
		return Principal{}, classifier.New(classifier.CodeTokenMissing, "token", "the request has no bearer token")
	}
	digest := Digest(token)
	if k.operator != "" && subtle.ConstantTimeCompare([]byte(digest), []byte(k.operator)) == 1 {
		return Principal{Name: "bootstrap", Operator: true}, nil
	}
	now := k.clock.Now()
	entry, ok := k.lookup(digest, now)
	if ok && now < entry.next {
		return entry.principal, nil
	}
	if !ok && !k.unknown.AllowN(timeOf(now), 1) {
		return Principal{}, classifier.New(classifier.CodeRateLimited, "token", "too many unknown tokens; try again later")
	}
	if ok {
		// Requests that arrive while the platform is asked use the cached entry instead of asking as well.
		entry.next = now + retryAge
		k.store(digest, entry)
	}
	return k.ask(ctx, digest, entry, ok)
}

// ask reads a token from the platform and falls back to the cached entry while the platform does not answer.
func (k *keeper) ask(ctx context.Context, digest string, entry cached, known bool) (Principal, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	object, err := k.platform.Get(ctx, connector.KindToken, digest)
	now := k.clock.Now()
	switch {
	case classifier.CodeOf(err) == classifier.CodeObjectMissing:
		k.forget(digest)
		return Principal{}, classifier.New(classifier.CodeTokenMissing, "token", "the token is unknown or revoked")
	case err != nil && known:
		return entry.principal, nil
	case err != nil:
		return Principal{}, err
	}
	token, err := decodeToken(object.Value)
	if err != nil {
		k.forget(digest)
		return Principal{}, err
	}
	k.store(digest, cached{principal: token.principal(), confirmed: now, next: now + freshAge})
	return token.principal(), nil
}

// lookup returns a cached token that is not too old.
func (k *keeper) lookup(digest string, now timekeeper.Millis) (cached, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	entry, ok := k.tokens[digest]
	if ok && now-entry.confirmed > staleAge {
		delete(k.tokens, digest)
		return cached{}, false
	}
	return entry, ok
}

func (k *keeper) store(digest string, entry cached) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, ok := k.tokens[digest]; !ok && len(k.tokens) >= maxTokens {
		for other := range k.tokens { // a random entry; it is read again when needed
			delete(k.tokens, other)
			break
		}
	}
	k.tokens[digest] = entry
}

func (k *keeper) forget(digest string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.tokens, digest)
}
