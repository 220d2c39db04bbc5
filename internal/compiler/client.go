package compiler

import "crypto/sha256"

// Client is a client account that shares hosts with others. Its callers state one of its keys, of which nodes keep
// digests only.
type Client struct {
	Name  string      `json:"name"  msgpack:"n"`
	Keys  []KeyDigest `json:"keys"  msgpack:"k"`
	Order int         `json:"order" msgpack:"o"` // goes before the order of the rank
	Rate  float64     `json:"rate"  msgpack:"r"` // requests per second on all nodes together; 0 for no limit
	Burst float64     `json:"burst" msgpack:"b"` // requests at once
}

// KeyDigest is the SHA-256 of a key.
type KeyDigest [sha256.Size]byte

// DigestOfKey returns the digest of a key.
func DigestOfKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Limited reports whether the requests of the account are bounded.
func (c *Client) Limited() bool {
	return c.Rate > 0
}

// rankLevels is the number of orders of ranks that one order of a client account has.
const rankLevels = 4

// OrderOf returns the order of a request of the account with a rank: all requests of an account of a lower order go
// before those of a higher one.
func (c *Client) OrderOf(rank *Rank) int {
	return min(c.Order*rankLevels+min(rank.Order, rankLevels-1), maxRankOrder)
}

// maxRankOrder is the highest order of a rank.
const maxRankOrder = 15
