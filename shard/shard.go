// Package shard divides a service's endpoints into shards. For each shard one node,
// its owner, queues and admits requests.
//
// A shard is a run of up to MaxEndpoints consecutive endpoints in the order of the
// document. A small service has one shard, so that one node sees its whole queue. A
// large one has several, so that no node has to handle all of its requests.
package shard

import (
	"strconv"

	"github.com/plantaindeck/plantaindeck/spec"
)

// MaxEndpoints is the largest number of endpoints in a shard.
const MaxEndpoints = 16

// Count returns the number of shards of a service.
func Count(s *spec.Service) int {
	return (len(s.Endpoints) + MaxEndpoints - 1) / MaxEndpoints
}

// Endpoints returns the endpoints of the shard with the given index, or nil if the
// service has no such shard.
func Endpoints(s *spec.Service, index int) []spec.Endpoint {
	first := index * MaxEndpoints
	if index < 0 || first >= len(s.Endpoints) {
		return nil
	}
	return s.Endpoints[first:min(first+MaxEndpoints, len(s.Endpoints))]
}

// Key returns the key by which the owner of a shard is chosen.
func Key(service string, index int) string {
	return service + "/" + strconv.Itoa(index)
}

// HasEndpointIn reports whether a shard has an endpoint in the given data centre.
func HasEndpointIn(s *spec.Service, index int, centre string) bool {
	for _, e := range Endpoints(s, index) {
		if e.Centre == centre {
			return true
		}
	}
	return false
}
