package deduplicator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replicas is the number of owners of an id in a data centre with enough members.
const Replicas = 3

// weight is the rendezvous weight of a name for an id.
func weight(d ID, name string) uint64 {
	var buffer [128]byte
	return xxhash.Sum64(append(append(buffer[:0], d[:]...), name...))
}

// Home returns the data centre whose members remember the id: the name with the highest weight, or "" without names.
func Home(d ID, zones []string) string {
	if owners := Owners(d, zones, 1); len(owners) == 1 {
		return owners[0]
	}
	return ""
}

// Owners returns the count names with the highest weights for the id, highest first. Names must be distinct.
func Owners(d ID, names []string, count int) []string {
	best := make([]string, 0, count+1)
	weights := make([]uint64, 0, count+1)
	for _, name := range names {
		w := weight(d, name)
		at := len(best)
		for at > 0 && (weights[at-1] < w || weights[at-1] == w && best[at-1] > name) {
			at--
		}
		if at == count {
			continue
		}
		best = slices.Insert(best, at, name)
		weights = slices.Insert(weights, at, w)
		if len(best) > count {
			best, weights = best[:count], weights[:count]
		}
	}
	return best
}

// Quorum returns how many of the given number of owners must grant a claim: any two quorums share an owner.
func Quorum(owners int) int {
	if owners < Replicas {
		return owners
	}
	return owners/2 + 1
}

// fingerprint identifies an owner set in a message.
func fingerprint(owners []string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, name := range owners {
		_, _ = digest.WriteString(name)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
