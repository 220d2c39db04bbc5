package isolator

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// Format is the number of the message format.
const Format = 1

// maxName bounds names in messages, in bytes.
const maxName = 256

// MarkArguments carries deaths to another node. Zone is the sender's data centre.
type MarkArguments struct {
	Format  int     `msgpack:"f"`
	Zone    string  `msgpack:"z"`
	Crashes Crashes `msgpack:"d"`
}

// MarkReply is the empty reply to MarkArguments.
type MarkReply struct {
	Format int `msgpack:"f"`
}

// Receiver serves the messages of other nodes. Register it with the messenger as "Isolator".
type Receiver struct {
	isolator *Isolator
}

// Receiver returns the net/rpc receiver of this node.
func (i *Isolator) Receiver() any {
	return &Receiver{isolator: i}
}

// Mark counts deaths that another node reports. Deaths from another data centre are passed on within this one.
func (c *Receiver) Mark(arguments *MarkArguments, reply *MarkReply) error {
	if arguments.Format != Format {
		return classifier.New(classifier.CodePeerFormat, "isolator", "format %d instead of %d", arguments.Format, Format)
	}
	if len(arguments.Crashes) > batchLimit {
		return classifier.New(classifier.CodePeerInvalid, "isolator", "%d deaths", len(arguments.Crashes))
	}
	for at := range arguments.Crashes {
		d := &arguments.Crashes[at]
		if max(len(d.Key.ID), len(d.Key.Account), len(d.Key.Call), len(d.Host)) > maxName {
			return classifier.New(classifier.CodePeerInvalid, "isolator", "a name is over %d bytes", maxName)
		}
	}
	c.isolator.take(arguments.Crashes, false, arguments.Zone != c.isolator.options.Zone)
	reply.Format = Format
	return nil
}
