// Package owner chooses the node that is responsible for a key, by rendezvous
// hashing.
//
// Every node computes owners from its own member list, so two nodes may compute
// different owners while their lists differ. Code that relies on an owner must
// therefore stay correct with two of them, and may only become slower. When a node
// joins or leaves, only the keys that it gains or loses change owner.
package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pick returns the members with the highest and the second highest weight for key.
// The second is the standby of the first. Both are empty if there are no members,
// and second is empty if there is only one.
func Pick(key string, members []string) (first, second string) {
	var firstWeight, secondWeight uint64
	keyHash := xxhash.Sum64String(key)
	for _, m := range members {
		w := weight(keyHash, m)
		switch {
		case first == "" || w > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = m, w
		case second == "" || w > secondWeight:
			second, secondWeight = m, w
		}
	}
	return first, second
}

// Top returns the members with the n highest weights for key, the highest first.
func Top(key string, n int, members []string) []string {
	type weighted struct {
		member string
		weight uint64
	}
	keyHash := xxhash.Sum64String(key)
	list := make([]weighted, len(members))
	for i, m := range members {
		list[i] = weighted{m, weight(keyHash, m)}
	}
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	top := make([]string, min(n, len(list)))
	for i := range top {
		top[i] = list[i].member
	}
	return top
}

// Rank returns the number of members that have a higher weight for key than id.
func Rank(key, id string, members []string) int {
	keyHash := xxhash.Sum64String(key)
	idWeight := weight(keyHash, id)
	above := 0
	for _, m := range members {
		if m != id && weight(keyHash, m) > idWeight {
			above++
		}
	}
	return above
}

// InTopN reports whether id is one of the n members with the highest weight for
// key.
func InTopN(key, id string, n int, members []string) bool {
	return Rank(key, id, members) < n
}

// weight combines the hash of a key with that of a member. The multiplications
// mix the bits, which a plain exclusive or of two hashes would leave correlated.
func weight(keyHash uint64, member string) uint64 {
	h := (keyHash ^ xxhash.Sum64String(member)) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
