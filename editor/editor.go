// Package editor changes teams' documents in the key-value service.
//
// A document's revisions are numbered from 1. An edit names the revision that
// its author read, and is accepted only while that one is the latest. The
// accepted text, its entry in the history and the names of its services are
// written in one transaction.
//
// Invariants:
//   - Of edits that race, exactly one is accepted for a revision.
//   - An edit has an id. An edit whose answer was lost is settled by its id,
//     so that it is neither lost nor applied twice.
//   - A service belongs to the team that named it first.
package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wait"
)

// The prefixes of the keys.
const (
	documentPrefix = "/plantaindeck/documents/"
	historyPrefix  = "/plantaindeck/history/"
	servicePrefix  = "/plantaindeck/services/"
)

const retryPause = 100 * time.Millisecond

// Record is one accepted revision.
type Record struct {
	Team     string    `json:"team"`
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Text     string    `json:"text,omitempty"`
}

// head is the latest revision as nodes read it. The text stands in the
// history only.
type head struct {
	Record
	Doc json.RawMessage `json:"doc"` // in the form of spec.Encode
}

// Edit is a change that an author wants.
type Edit struct {
	Team   string
	Base   uint64 // revision that the author read; 0 for none
	ID     string // unique for each edit
	Author string
	Text   []byte
}

// ConflictError says that another edit was accepted first.
type ConflictError struct {
	Base    uint64
	Current Record
}

// Error names the revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("team %q is at revision %d, not %d: read it again and repeat the change", e.Current.Team, e.Current.Revision, e.Base)
}

// TakenError says that a service belongs to another team.
type TakenError struct {
	Service string
	Team    string
}

// Error names the service and its team.
func (e *TakenError) Error() string {
	return fmt.Sprintf("service %q belongs to team %q", e.Service, e.Team)
}

// MissingError says that a team has no document.
type MissingError struct {
	Team string
}

// Error names the team.
func (e *MissingError) Error() string {
	return fmt.Sprintf("team %q has no document", e.Team)
}

// Editor changes documents. It may be used by several goroutines.
type Editor struct {
	store store.Store
}

// New returns an editor over a key-value service.
func New(s store.Store) *Editor {
	return &Editor{store: s}
}

// Get returns the latest revision of a team's document.
func (e *Editor) Get(ctx context.Context, team string) (Record, error) {
	r, _, err := e.current(ctx, team)
	if err != nil {
		return r, err
	}
	if r.Revision == 0 {
		return r, &MissingError{Team: team}
	}
	got, err := e.store.Get(ctx, historyKey(team, r.Revision))
	if err != nil {
		return r, err
	}
	if len(got.Entries) == 0 {
		return r, errors.Errorf("team %q revision %d is not in the history", team, r.Revision)
	}
	return decode(got.Entries[0])
}

// Returns the latest record, which is empty without a document, and the store
// revision of its key.
func (e *Editor) current(ctx context.Context, team string) (Record, int64, error) {
	got, err := e.store.Get(ctx, documentPrefix+team)
	if err != nil || len(got.Entries) == 0 {
		return Record{Team: team}, 0, err
	}
	r, err := decode(got.Entries[0])
	return r, got.Entries[0].Revision, err
}

func decode(entry store.Entry) (Record, error) {
	var r Record
	err := json.Unmarshal(entry.Value, &r)
	return r, errors.Wrapf(err, "decode %s", entry.Key)
}

// History returns every accepted revision of a team, oldest first.
func (e *Editor) History(ctx context.Context, team string) ([]Record, error) {
	got, err := e.store.List(ctx, historyPrefix+team+"/", 0)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(got.Entries))
	for _, entry := range got.Entries {
		r, err := decode(entry)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func historyKey(team string, revision uint64) string {
	return fmt.Sprintf("%s%s/%010d", historyPrefix, team, revision)
}

// Apply makes an edit, and returns the revision that it became. Errors are a
// *spec.ParseError, a *ConflictError, a *TakenError or those of the store;
// after a *store.UnknownError the same edit may be applied again.
func (e *Editor) Apply(ctx context.Context, now time.Time, edit Edit) (Record, error) {
	doc, err := spec.Parse(edit.Text)
	if err != nil {
		return Record{}, err
	}
	if doc.Team != edit.Team {
		return Record{}, &spec.ParseError{Faults: []spec.Fault{{Line: 1, Field: "team", Message: fmt.Sprintf("is %q, but the edit is for team %q", doc.Team, edit.Team)}}}
	}
	next := Record{
		Team:     edit.Team,
		Revision: edit.Base + 1,
		Edit:     edit.ID,
		Author:   edit.Author,
		Time:     now,
		Text:     string(edit.Text),
	}
	var unsure *store.UnknownError
	for {
		r, done, err := e.try(ctx, edit, next, doc)
		if done {
			return r, err
		}
		errors.As(err, &unsure)
		// The transaction holds only while the base is the latest, so trying
		// it again cannot apply the edit twice. Until a try has an unknown
		// effect, its error is the answer.
		if unsure == nil {
			return r, err
		}
		if !wait.For(ctx, retryPause) {
			return Record{}, unsure
		}
	}
}

// Tries an edit once. It reports done when the result is final.
func (e *Editor) try(ctx context.Context, edit Edit, next Record, doc *spec.Document) (Record, bool, error) {
	made, ok, err := e.settled(ctx, next)
	if err != nil || ok {
		return made, ok, err
	}
	current, modified, err := e.current(ctx, edit.Team)
	if err != nil {
		return Record{}, false, err
	}
	if current.Revision != edit.Base {
		return Record{}, true, &ConflictError{Base: edit.Base, Current: current}
	}
	conditions := []store.Condition{{Key: documentPrefix + edit.Team, Revision: modified}}
	writes, err := records(next, doc)
	if err != nil {
		return Record{}, true, err
	}
	owned, claims, err := e.services(ctx, edit.Team, doc)
	if err != nil {
		return Record{}, true, err
	}
	ok, err = e.store.Commit(ctx, append(conditions, owned...), append(writes, claims...))
	if err != nil {
		return Record{}, false, err
	}
	if ok {
		return next, true, nil
	}
	// Another edit came first, or this one did in an earlier try.
	return Record{}, false, &store.UnknownError{Op: "apply", Key: documentPrefix + edit.Team, Err: errors.New("the document changed meanwhile")}
}

// Returns the writes that make a revision the latest.
func records(next Record, doc *spec.Document) ([]store.Write, error) {
	text, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode document record")
	}
	h := head{Record: next}
	h.Text = ""
	if h.Doc, err = spec.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	latest, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "encode document record")
	}
	return []store.Write{
		{Key: documentPrefix + next.Team, Value: latest},
		{Key: historyKey(next.Team, next.Revision), Value: text},
	}, nil
}

// Reports whether the edit has been accepted before.
func (e *Editor) settled(ctx context.Context, next Record) (Record, bool, error) {
	got, err := e.store.Get(ctx, historyKey(next.Team, next.Revision))
	if err != nil || len(got.Entries) == 0 {
		return Record{}, false, err
	}
	made, err := decode(got.Entries[0])
	return made, err == nil && made.Edit == next.Edit, err
}

// Returns the conditions and writes that keep a service with one team.
func (e *Editor) services(ctx context.Context, team string, doc *spec.Document) ([]store.Condition, []store.Write, error) {
	got, err := e.store.List(ctx, servicePrefix, 0)
	if err != nil {
		return nil, nil, err
	}
	owners := map[string]store.Entry{}
	for _, entry := range got.Entries {
		owners[strings.TrimPrefix(entry.Key, servicePrefix)] = entry
	}
	var conditions []store.Condition
	var writes []store.Write
	for _, s := range doc.Services {
		entry, taken := owners[s.Name]
		if taken && string(entry.Value) != team {
			return nil, nil, &TakenError{Service: s.Name, Team: string(entry.Value)}
		}
		conditions = append(conditions, store.Condition{Key: servicePrefix + s.Name, Revision: entry.Revision})
		if !taken {
			writes = append(writes, store.Write{Key: servicePrefix + s.Name, Value: []byte(team)})
		}
	}
	return conditions, writes, nil
}

// Changed returns the documents that changed after a store revision, and the
// store revision to go on from. A document that does not parse was written by
// a later version of the project; its team is named in skipped.
func (e *Editor) Changed(ctx context.Context, after int64) (revisions []kernel.Revision, cursor int64, skipped []string, err error) {
	got, err := e.store.List(ctx, documentPrefix, after)
	if err != nil {
		return nil, after, nil, err
	}
	for _, entry := range got.Entries {
		var h head
		if err := json.Unmarshal(entry.Value, &h); err != nil {
			skipped = append(skipped, entry.Key)
			continue
		}
		doc, err := spec.Decode(h.Doc)
		if err != nil {
			skipped = append(skipped, h.Team)
			continue
		}
		revisions = append(revisions, kernel.Revision{Team: h.Team, Number: h.Revision, Edit: h.Edit, Body: h.Doc, Doc: doc})
	}
	return revisions, got.Revision, skipped, nil
}
