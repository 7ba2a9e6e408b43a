// Package policy keeps the teams' documents that are in force on a node.
//
// A few nodes of each data centre read the documents from the key-value
// service. The others get them from their neighbours by gossip: a node
// announces new revisions at once and a digest of all of them periodically, and
// a node that lacks a revision pulls it.
//
// Invariants:
//   - A team's document is only replaced by one of a higher revision.
//   - A node is not ready, and serves nothing, until it has adopted a document,
//     read the key-value service, or found a ready neighbour with the same digest.
//
// A node that can reach neither that service nor a peer continues with the
// documents that it has: they were accepted, and it knows of no newer ones.
package policy

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	readInterval     = time.Second      // between two reads of the key-value service by a node
	firstReadDelay   = 2 * time.Second  // time after the first Tick from which a node that is not ready reads the key-value service itself
	readTimeout      = 10 * time.Second // time after which a read without a result counts as lost
	readersPerCentre = 2                // nodes of each data centre that read the key-value service
	digestInterval   = time.Second      // between two digests to the neighbours
	pullTimeout      = time.Second      // time after a Pull before it may be sent again
)

var handle kernel.Handle[*Set]

func init() {
	handle = kernel.Register(kernel.Plugin[*Set]{
		Name: "policy",
		Rank: 20,
		Init: func(kernel.Config) *Set { return &Set{} },
		Step: step,
	})
}

// Of returns the documents in force in s.
func Of(s kernel.State) *Set {
	return handle.Of(s)
}

// Set holds the documents in force. It is immutable.
type Set struct {
	docs        map[string]kernel.Revision // by team
	teams       map[string]string          // by service
	identities  map[string]Identity        // by the hash of a workspace key
	digest      uint64                     // hash over the teams and revisions in force
	ready       bool
	cursor      int64 // revision of the key-value service after which the next read starts
	readPending bool  // a read of the key-value service has no result yet
	lastRead    time.Time
	firstTick   time.Time
	lastDigest  time.Time
	lastPulls   map[string]time.Time // time of the last Pull: by peer for a Pull of all documents, by team for any other
}

// Service returns the named service and its team, if a document in force has it.
func (s *Set) Service(name string) (*spec.Service, string, bool) {
	team, ok := s.teams[name]
	if !ok {
		return nil, "", false
	}
	svc, ok := s.docs[team].Doc.Service(name)
	return svc, team, ok
}

// Workspace returns the named workspace of the team that runs the service.
func (s *Set) Workspace(service, name string) (*spec.Workspace, bool) {
	r, ok := s.docs[s.teams[service]]
	if !ok {
		return nil, false
	}
	return r.Doc.Workspace(name)
}

// Revision returns the document in force for a team.
func (s *Set) Revision(team string) (kernel.Revision, bool) {
	r, ok := s.docs[team]
	return r, ok
}

// Revisions returns the documents in force, sorted by team.
func (s *Set) Revisions() []kernel.Revision {
	list := make([]kernel.Revision, 0, len(s.docs))
	for _, team := range slices.Sorted(maps.Keys(s.docs)) {
		list = append(list, s.docs[team])
	}
	return list
}

// Ready reports whether the node has learned which documents are in force.
func (s *Set) Ready() bool {
	return s.ready
}

// Digest returns a hash over the teams and revisions in force.
func (s *Set) Digest() uint64 {
	return s.digest
}

// With returns a set in which r is in force, and whether it differs from s. It
// returns s itself if s has the same or a higher revision already.
func (s *Set) With(r kernel.Revision) (*Set, bool) {
	if current, ok := s.docs[r.Team]; ok && current.Number >= r.Number {
		return s, false
	}
	next := *s
	next.docs = kernel.CloneMap(s.docs)
	next.docs[r.Team] = r
	next.ready = true
	next.buildIndexes()
	return &next, true
}

// Identity names the workspace that a key belongs to, and its team.
type Identity struct {
	Team      string
	Workspace string
}

// Identify returns the workspace that a key belongs to, given the key's hash.
func (s *Set) Identify(hash string) (Identity, bool) {
	id, ok := s.identities[hash]
	return id, ok
}

// buildIndexes derives the teams by service, the workspaces by key and the
// digest from the documents. If two teams name the same service or key, it
// belongs on every node to the team whose name sorts first.
func (s *Set) buildIndexes() {
	s.teams = map[string]string{}
	s.identities = map[string]Identity{}
	s.digest = 0
	for _, team := range slices.Sorted(maps.Keys(s.docs)) {
		r := s.docs[team]
		s.digest ^= revisionHash(team, r.Number)
		for i := range r.Doc.Services {
			name := r.Doc.Services[i].Name
			if _, taken := s.teams[name]; !taken {
				s.teams[name] = team
			}
		}
		for _, w := range r.Doc.Workspaces {
			for _, hash := range w.Keys {
				if _, taken := s.identities[hash]; !taken {
					s.identities[hash] = Identity{Team: team, Workspace: w.Name}
				}
			}
		}
	}
}

// revisionHash returns a document's part of the digest.
func revisionHash(team string, number uint64) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], number)
	return xxhash.Sum64(append([]byte(team), buf[:]...))
}

func step(now time.Time, s kernel.State, e kernel.Event) (*Set, []kernel.Effect) {
	set := Of(s)
	switch e := e.(type) {
	case kernel.Tick:
		return set.tick(now, member.Of(s))
	case kernel.DocumentRead:
		return set.adopt(member.Of(s), e.Document)
	case kernel.ReadDocumentsEnded:
		return set.finishRead(e), nil
	case kernel.FrameReceived:
		return set.handleFrame(now, e)
	}
	return set, nil
}

func (s *Set) tick(now time.Time, v *member.View) (*Set, []kernel.Effect) {
	next := *s
	var effects []kernel.Effect
	if next.firstTick.IsZero() {
		next.firstTick = now
	}
	if next.readDue(now, v) {
		next.readPending = true
		next.lastRead = now
		effects = append(effects, kernel.ReadDocuments{Cursor: next.cursor})
	}
	if now.Sub(next.lastDigest) >= digestInterval {
		next.lastDigest = now
		effects = append(effects, next.announce(v.Neighbours())...)
	}
	return &next, effects
}

// readDue reports whether the node must read the key-value service now.
func (s *Set) readDue(now time.Time, v *member.View) bool {
	if s.readPending && now.Sub(s.lastRead) < readTimeout {
		return false
	}
	if now.Sub(s.lastRead) < readInterval {
		return false
	}
	if !s.ready && now.Sub(s.firstTick) >= firstReadDelay {
		return true
	}
	return readsDocuments(v)
}

// readsDocuments reports whether this node is one of those that read the key-value
// service for their data centre.
func readsDocuments(v *member.View) bool {
	return owner.InTopN("documents", v.Self().GetId(), readersPerCentre, v.OwnersInCentre())
}

// finishRead records the result of a read of the key-value service. A read that
// succeeded makes the node ready, even if there is no document.
func (s *Set) finishRead(e kernel.ReadDocumentsEnded) *Set {
	next := *s
	next.readPending = false
	if !e.Failed {
		next.ready = true
		next.cursor = max(next.cursor, e.Cursor)
	}
	return &next
}

// adopt puts r in force, unless the same or a higher revision is, and announces
// it to the neighbours.
func (s *Set) adopt(v *member.View, r kernel.Revision) (*Set, []kernel.Effect) {
	next, changed := s.With(r)
	if !changed {
		return s, nil
	}
	effects := []kernel.Effect{
		kernel.AdoptDocument{Document: r},
		kernel.Record{Kind: "adopt", Detail: revisionDetail(r)},
	}
	held := &wire.Held{Team: r.Team, Revision: r.Number}
	return next, append(effects, next.announce(v.Neighbours(), held)...)
}
