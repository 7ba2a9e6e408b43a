// Package shard divides a service's endpoints into groups that one node can
// queue and admit for.
//
// A shard is a run of Size endpoints in the order of the document. A small
// service has one shard, so that one node sees all of its queue; a large one
// has many, so that no node has to see it all.
package shard

import (
	"strconv"

	"github.com/plantaindeck/plantaindeck/spec"
)

// Size is the largest number of endpoints in a shard.
const Size = 16

// Count returns the number of shards of a service.
func Count(s *spec.Service) int {
	return (len(s.Endpoints) + Size - 1) / Size
}

// Endpoints returns the endpoints of one shard, which is empty when the
// service has no such shard.
func Endpoints(s *spec.Service, index int) []spec.Endpoint {
	low := index * Size
	if index < 0 || low >= len(s.Endpoints) {
		return nil
	}
	return s.Endpoints[low:min(low+Size, len(s.Endpoints))]
}

// Key names a shard, for the choice of its owner.
func Key(service string, index int) string {
	return service + "/" + strconv.Itoa(index)
}

// Local reports whether a shard has an endpoint in a data centre.
func Local(s *spec.Service, index int, centre string) bool {
	for _, e := range Endpoints(s, index) {
		if e.Centre == centre {
			return true
		}
	}
	return false
}
