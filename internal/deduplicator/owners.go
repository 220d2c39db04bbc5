package deduplicator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replicas is the number of owners of an id in a data centre with enough members.
const Replicas = 3

// weight returns the rendezvous weight of a name for an id with the given hash.
func weight(hash uint64, name string) uint64 {
	w := hash ^ xxhash.Sum64String(name)
	w = (w ^ w>>33) * 0xff51afd7ed558ccd
	w = (w ^ w>>33) * 0xc4ceb9fe1a85ec53
	return w ^ w>>33
}

// HomeZone returns the data centre whose members own the id: the one with the highest weight, or "" if zones is empty.
func HomeZone(d ID, zones []string) string {
	if owners := Owners(d, zones, 1); len(owners) == 1 {
		return owners[0]
	}
	return ""
}

// Owners returns the count names with the highest weights for the id, highest first. Names must be distinct.
func Owners(d ID, names []string, count int) []string {
	hash := xxhash.Sum64(d[:])
	best := make([]string, 0, count+1)
	weights := make([]uint64, 0, count+1)
	for _, name := range names {
		w := weight(hash, name)
		if len(best) == count && (w < weights[count-1] || w == weights[count-1] && name > best[count-1]) {
			continue
		}
		at := len(best)
		for at > 0 && (weights[at-1] < w || weights[at-1] == w && best[at-1] > name) {
			at--
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
