package policy

import (
	"fmt"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

func revisionDetail(r kernel.Revision) string {
	return fmt.Sprintf("document %s revision %d", r.Team, r.Number)
}

// announce returns a News for each of the peers. It carries the digest of the
// documents in force, and the revisions in held, which are new to this node.
func (s *Set) announce(peers []string, held ...*wire.Held) []kernel.Effect {
	frame := &wire.Frame{Body: &wire.Frame_News{News: &wire.News{Ready: s.ready, Digest: s.digest, Held: held}}}
	effects := make([]kernel.Effect, len(peers))
	for i, id := range peers {
		effects[i] = kernel.Send{To: id, Frame: frame}
	}
	return effects
}

func (s *Set) handleFrame(now time.Time, e kernel.FrameReceived) (*Set, []kernel.Effect) {
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_News:
		return s.handleNews(now, e.From, body.News)
	case *wire.Frame_Pull:
		return s, s.handlePull(e.From, body.Pull)
	case *wire.Frame_Text:
		return s, decodeText(body.Text)
	}
	return s, nil
}

// handleNews pulls what the sender of n has and this node lacks. If n lists
// revisions, it pulls the newer ones; if only the digest differs, it pulls every
// document that is newer than the one in force.
func (s *Set) handleNews(now time.Time, from string, n *wire.News) (*Set, []kernel.Effect) {
	next := *s
	if n.GetReady() && n.GetDigest() == s.digest {
		next.ready = true
	}
	if len(n.GetHeld()) > 0 {
		return next.pullNewer(now, from, n.GetHeld())
	}
	if n.GetDigest() == s.digest || now.Sub(s.lastPulls[from]) < pullTimeout {
		return &next, nil
	}
	next.recordPull(now, from)
	pull := &wire.Pull{Held: s.heldRevisions(), All: true}
	return &next, []kernel.Effect{sendPull(from, pull)}
}

// pullNewer returns a Pull of the documents in held that are newer than those
// in force, except for teams that were pulled less than pullTimeout ago.
func (s *Set) pullNewer(now time.Time, from string, held []*wire.Held) (*Set, []kernel.Effect) {
	pull := &wire.Pull{}
	for _, h := range held {
		current := s.docs[h.GetTeam()].Number
		if h.GetRevision() <= current || now.Sub(s.lastPulls[h.GetTeam()]) < pullTimeout {
			continue
		}
		s.recordPull(now, h.GetTeam())
		pull.Held = append(pull.Held, &wire.Held{Team: h.GetTeam(), Revision: current})
	}
	if len(pull.Held) == 0 {
		return s, nil
	}
	return s, []kernel.Effect{sendPull(from, pull)}
}

func sendPull(to string, p *wire.Pull) kernel.Effect {
	return kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Pull{Pull: p}}}
}

// recordPull records the time of a Pull under key, the id of a peer or the name
// of a team, and removes the times that are older than pullTimeout.
func (s *Set) recordPull(now time.Time, key string) {
	s.lastPulls = kernel.CloneMap(s.lastPulls)
	for k, t := range s.lastPulls {
		if now.Sub(t) >= pullTimeout {
			delete(s.lastPulls, k)
		}
	}
	s.lastPulls[key] = now
}

// heldRevisions returns the revisions in force, sorted by team.
func (s *Set) heldRevisions() []*wire.Held {
	list := make([]*wire.Held, 0, len(s.docs))
	for _, r := range s.Revisions() {
		list = append(list, &wire.Held{Team: r.Team, Revision: r.Number})
	}
	return list
}

// handlePull sends the documents that are newer than those that the peer holds.
// If the peer holds a newer one than this node, it is sent a Pull in turn.
func (s *Set) handlePull(to string, p *wire.Pull) []kernel.Effect {
	var effects []kernel.Effect
	peerRevisions := map[string]uint64{}
	behind := false
	for _, h := range p.GetHeld() {
		peerRevisions[h.GetTeam()] = h.GetRevision()
		behind = behind || h.GetRevision() > s.docs[h.GetTeam()].Number
	}
	for _, r := range s.Revisions() {
		number, listed := peerRevisions[r.Team]
		if r.Number <= number || !listed && !p.GetAll() {
			continue
		}
		text := &wire.Text{Team: r.Team, Revision: r.Number, Edit: r.EditID, Body: r.Body}
		effects = append(effects, kernel.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Text{Text: text}}})
	}
	if behind {
		effects = append(effects, sendPull(to, &wire.Pull{Held: s.heldRevisions(), All: true}))
	}
	return effects
}

// decodeText decodes a document that a peer sent. An invalid one was written by
// a later version of the program; it is recorded and ignored.
func decodeText(t *wire.Text) []kernel.Effect {
	doc, err := spec.Decode(t.GetBody())
	if err != nil {
		return []kernel.Effect{kernel.Record{Kind: "document-refused", Detail: t.GetTeam() + ": " + err.Error()}}
	}
	r := kernel.Revision{Team: t.GetTeam(), Number: t.GetRevision(), EditID: t.GetEdit(), Body: t.GetBody(), Doc: doc}
	return []kernel.Effect{kernel.Raise{Event: kernel.DocumentRead{Document: r}}}
}
