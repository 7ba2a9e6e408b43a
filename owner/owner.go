// Package owner names the node that is responsible for a thing, by rendezvous
// hashing.
//
// Every node computes owners from its own member list, so two nodes may name
// different owners while their lists differ. Whatever is built on an owner
// must therefore stay correct with two of them, and may only lose speed. When
// a node joins or leaves, only the things that it gains or had change owner.
package owner

import (
	"github.com/cespare/xxhash/v2"
)

// Pick returns the member with the highest weight for key, and the next one,
// which stands in when the first does not answer. Both are empty without
// members, and second is empty with only one.
func Pick(key string, members []string) (first, second string) {
	var high, next uint64
	base := xxhash.Sum64String(key)
	for _, m := range members {
		w := weight(base, m)
		switch {
		case first == "" || w > high:
			second, next = first, high
			first, high = m, w
		case second == "" || w > next:
			second, next = m, w
		}
	}
	return first, second
}

// Among reports whether id is one of the n members with the highest weight for
// key.
func Among(key, id string, n int, members []string) bool {
	base := xxhash.Sum64String(key)
	own := weight(base, id)
	above := 0
	for _, m := range members {
		if m != id && weight(base, m) > own {
			above++
		}
	}
	return above < n
}

// Mixes the hash of a key with that of a member. The multiplication spreads
// the bits, which a plain exclusive or of two hashes leaves correlated.
func weight(base uint64, member string) uint64 {
	h := (base ^ xxhash.Sum64String(member)) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
