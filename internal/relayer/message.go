package relayer

import (
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
)

// Format is the number of the message format that this node writes and reads.
const Format = 1

// Limits on the fields of a message.
const (
	maxAddress  = 128
	maxDigests  = 16 // sections that one Fetch asks for
	maxManifest = 1 << 14
	digestBytes = 64 // hexadecimal SHA-256
	maxDelta    = 64 << 10
	// maxFetched bounds the bytes of the sections in one reply. Further sections are left empty, and the caller
	// requests them again.
	maxFetched = 1 << 20
)

// Offer announces a version to a member. If Delta is empty, the member fetches it from the sender.
type Offer struct {
	Format  int    `msgpack:"f"`
	From    string `msgpack:"p"` // peer address of the sender
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"d"`
	Base    uint64 `msgpack:"b"`
	Delta   []byte `msgpack:"x,omitempty"`
}

// Commit tells a member to activate a version.
type Commit struct {
	Format  int    `msgpack:"f"`
	From    string `msgpack:"p"`
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"d"`
}

// Status is the reply to Offer and Commit.
type Status struct {
	Format int    `msgpack:"f"`
	Known  uint64 `msgpack:"k"`
	Active uint64 `msgpack:"a"`
}

// Floor asks a member for its versions and, with Listed, for the members that it lists.
type Floor struct {
	Format int  `msgpack:"f"`
	Listed bool `msgpack:"l,omitempty"` // whether the reply includes the members
}

// FloorStatus is the reply to Floor. Listed holds the name hashes of the members of the data centre that are live or
// failed within the last 10 minutes.
type FloorStatus struct {
	Format int      `msgpack:"f"`
	Known  uint64   `msgpack:"k"`
	Active uint64   `msgpack:"a"`
	Ready  bool     `msgpack:"r"`
	Listed []uint64 `msgpack:"l,omitempty"`
}

// Fetch asks for the manifest and the delta of a version, or for sections by digest if Digests is not empty. Version 0
// means the active version.
type Fetch struct {
	Format  int      `msgpack:"f"`
	Version uint64   `msgpack:"v"`
	Base    uint64   `msgpack:"b,omitempty"` // version that the caller has; a delta from it replaces the manifest
	Digests []string `msgpack:"d,omitempty"`
}

// Fetched is the reply to Fetch. Bodies are in the order of Digests; the body of a missing section is empty.
type Fetched struct {
	Format   int              `msgpack:"f"`
	Version  uint64           `msgpack:"v"`
	Digest   string           `msgpack:"d"`
	Active   uint64           `msgpack:"a"`
	Manifest []compiler.Entry `msgpack:"m,omitempty"`
	Base     uint64           `msgpack:"b,omitempty"`
	Delta    []byte           `msgpack:"x,omitempty"`
	Bodies   [][]byte         `msgpack:"s,omitempty"`
}

func checkDigest(message, digest string) error {
	if len(digest) != digestBytes {
		return messenger.InvalidField(message, "digest", len(digest))
	}
	return nil
}

func (o *Offer) check() error {
	switch {
	case o.Format != Format:
		return messenger.CheckFormat("offer", o.Format, Format)
	case o.Version == 0 || o.Base >= o.Version:
		return messenger.InvalidField("offer", "version", o.Version)
	case o.From == "" || len(o.From) > maxAddress:
		return messenger.InvalidField("offer", "from", len(o.From))
	case len(o.Delta) > maxDelta:
		return messenger.InvalidField("offer", "delta", len(o.Delta))
	}
	return checkDigest("offer", o.Digest)
}

func (c *Commit) check() error {
	switch {
	case c.Format != Format:
		return messenger.CheckFormat("commit", c.Format, Format)
	case c.Version == 0:
		return messenger.InvalidField("commit", "version", c.Version)
	case c.From == "" || len(c.From) > maxAddress:
		return messenger.InvalidField("commit", "from", len(c.From))
	}
	return checkDigest("commit", c.Digest)
}

func (f *Fetch) check() error {
	if f.Format != Format {
		return messenger.CheckFormat("fetch", f.Format, Format)
	}
	if len(f.Digests) > maxDigests {
		return messenger.InvalidField("fetch", "digests", len(f.Digests))
	}
	for _, digest := range f.Digests {
		if err := checkDigest("fetch", digest); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fetched) check(request *Fetch) error {
	switch {
	case f.Format != Format:
		return messenger.CheckFormat("fetched", f.Format, Format)
	case len(f.Manifest) > maxManifest:
		return messenger.InvalidField("fetched", "manifest", len(f.Manifest))
	case len(f.Delta) > maxDelta:
		return messenger.InvalidField("fetched", "delta", len(f.Delta))
	case len(f.Bodies) != len(request.Digests):
		return messenger.InvalidField("fetched", "bodies", len(f.Bodies))
	case len(request.Digests) == 0 && request.Version != 0 && f.Version != request.Version:
		return messenger.InvalidField("fetched", "version", f.Version)
	}
	return nil
}

func (f *FloorStatus) check() error {
	if f.Format != Format {
		return messenger.CheckFormat("floor", f.Format, Format)
	}
	if len(f.Listed) > maxManifest {
		return messenger.InvalidField("floor", "listed", len(f.Listed))
	}
	return nil
}
