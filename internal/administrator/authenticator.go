package administrator

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// refreshInterval is how long a cached token is used before it is read from the platform again. A revoked token
	// stays valid on other nodes for up to this time.
	refreshInterval = 30 * timekeeper.Second
	// maxStaleAge is how long a cached token stays valid while the platform is unavailable. It covers the usual length
	// of an outage and bounds the use of a token that was revoked just before the outage.
	maxStaleAge = 60 * timekeeper.Minute
	// lookupTimeout bounds the wait for the platform, so that status responds quickly in an outage.
	lookupTimeout = 2 * timekeeper.Second
	// retryInterval is how long a cached token is used after a failed read before the next read.
	retryInterval = 5 * timekeeper.Second
	// maxTokens is the largest number of cached tokens.
	maxTokens = 4096
	// unknownTokenRate, per second, and unknownTokenBurst bound the platform calls for digests that are not in the
	// cache, because anyone who can reach the admin address can cause them.
	unknownTokenRate, unknownTokenBurst = 1, 10
)

// authenticator maps bearer tokens to principals. It caches existing tokens for a bounded time.
type authenticator struct {
	platform      connector.Platform
	clock         timekeeper.Clock
	operator      string // digest of the bootstrap operator token
	unknownTokens *rate.Limiter

	mutex  sync.Mutex
	tokens map[string]cachedToken // by digest
}

type cachedToken struct {
	principal   Principal
	confirmedAt timekeeper.Millis // time of the last successful read from the platform
	refreshAt   timekeeper.Millis // time of the next read from the platform
}

func newAuthenticator(platform connector.Platform, clock timekeeper.Clock, operator string) *authenticator {
	return &authenticator{
		platform:      platform,
		clock:         clock,
		operator:      operator,
		unknownTokens: rate.NewLimiter(unknownTokenRate, unknownTokenBurst),
		tokens:        make(map[string]cachedToken),
	}
}

// authenticate returns the principal of a token. The error has CodeTokenMissing, or a 5xx result code if the token
// must be read from the platform and the read fails or exceeds the rate limit.
func (k *authenticator) authenticate(ctx context.Context, token string) (Principal, error) {
	if token == "" || len(token) > maxTokenBytes {
		return Principal{}, classifier.New(classifier.CodeTokenMissing, "token", "the request has no bearer token")
	}
	digest := Digest(token)
	if matches(digest, k.operator) {
		return Principal{Name: "bootstrap", Operator: true}, nil
	}
	now := k.clock.Now()
	entry, ok := k.lookup(digest, now)
	if ok && now < entry.refreshAt {
		return entry.principal, nil
	}
	if !ok && !k.unknownTokens.AllowN(timeOf(now), 1) {
		return Principal{}, classifier.New(classifier.CodeRateLimited, "token", "too many unknown tokens; try again later")
	}
	if ok {
		// Concurrent requests use the cached entry instead of reading the token from the platform as well.
		entry.refreshAt = now + retryInterval
		k.store(digest, entry)
	}
	return k.fetch(ctx, digest, entry, ok)
}

// fetch reads a token from the platform. If the read fails, it falls back to the cached entry.
func (k *authenticator) fetch(ctx context.Context, digest string, entry cachedToken, isCached bool) (Principal, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	object, err := k.platform.Get(ctx, connector.KindToken, digest)
	now := k.clock.Now()
	switch {
	case classifier.CodeOf(err) == classifier.CodeObjectMissing:
		k.forget(digest)
		return Principal{}, classifier.New(classifier.CodeTokenMissing, "token", "the token is unknown or revoked")
	case err != nil && isCached:
		return entry.principal, nil
	case err != nil:
		return Principal{}, err
	}
	token, err := decodeToken(object.Value)
	if err != nil {
		k.forget(digest)
		return Principal{}, err
	}
	k.store(digest, cachedToken{principal: token.principal(), confirmedAt: now, refreshAt: now + refreshInterval})
	return token.principal(), nil
}

// lookup returns a cached token and evicts it if it is older than maxStaleAge.
func (k *authenticator) lookup(digest string, now timekeeper.Millis) (cachedToken, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	entry, ok := k.tokens[digest]
	if ok && now-entry.confirmedAt > maxStaleAge {
		delete(k.tokens, digest)
		return cachedToken{}, false
	}
	return entry, ok
}

func (k *authenticator) store(digest string, entry cachedToken) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, ok := k.tokens[digest]; !ok && len(k.tokens) >= maxTokens {
		for evicted := range k.tokens { // a random entry; it is read again when needed
			delete(k.tokens, evicted)
			break
		}
	}
	k.tokens[digest] = entry
}

func (k *authenticator) forget(digest string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.tokens, digest)
}
