package isolator

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// Format is the version of the message format.
const Format = 1

// maxName is the maximum length of a name in a message, in bytes.
const maxName = 256

// MarkArguments carries crashes to another node. Zone is the sender's data centre.
type MarkArguments struct {
	Format  int     `msgpack:"f"`
	Zone    string  `msgpack:"z"`
	Crashes Crashes `msgpack:"d"`
}

// MarkReply is the empty reply to MarkArguments.
type MarkReply struct {
	Format int `msgpack:"f"`
}

// Receiver serves the RPCs of other nodes. It is registered with the messenger as "Isolator".
type Receiver struct {
	isolator *Isolator
}

// Receiver returns the net/rpc receiver of this node.
func (i *Isolator) Receiver() any {
	return &Receiver{isolator: i}
}

// Mark counts crashes that another node reports. Crashes from another data centre are forwarded within this one. It
// fails with CodePeerFormat for another message format, and with CodePeerInvalid if the batch or a name is too long.
func (c *Receiver) Mark(arguments *MarkArguments, reply *MarkReply) error {
	if arguments.Format != Format {
		return classifier.New(classifier.CodePeerFormat, "isolator", "format %d instead of %d", arguments.Format, Format)
	}
	if len(arguments.Crashes) > batchLimit {
		return classifier.New(classifier.CodePeerInvalid, "isolator", "message with %d crashes", len(arguments.Crashes))
	}
	for at := range arguments.Crashes {
		crash := &arguments.Crashes[at]
		if max(len(crash.Key.ID), len(crash.Key.Account), len(crash.Key.Call), len(crash.Host)) > maxName {
			return classifier.New(classifier.CodePeerInvalid, "isolator", "a name is over %d bytes", maxName)
		}
	}
	c.isolator.addCrashes(arguments.Crashes, false, arguments.Zone != c.isolator.options.Zone)
	reply.Format = Format
	return nil
}
