// Package editor edits teams' documents in the key-value service.
//
// A document's revisions are numbered from 1. An edit names the revision that it
// is based on, and is accepted only if that is the latest. The new document,
// its entry in the history and the ownership of its services are written in one
// transaction.
//
// Invariants:
//   - Of concurrent edits that are based on the same revision, exactly one is
//     accepted.
//   - An edit has an id, which the history stores. After a lost response the
//     editor looks for the id there, so that an edit is neither lost nor applied
//     twice.
//   - A service belongs to the first team whose document names it.
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
	documentPrefix = "/plantaindeck/documents/" // the latest revision, by team
	historyPrefix  = "/plantaindeck/history/"   // every revision, by team and number
	servicePrefix  = "/plantaindeck/services/"  // the owning team, by service
)

const (
	retryBackoff = 100 * time.Millisecond
	restoredBy   = "(restored from a node)" // author of a revision that Restore wrote
)

// Record is an accepted revision of a document.
type Record struct {
	Team     string    `json:"team"`
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"` // id of the edit
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Text     string    `json:"text,omitempty"`
}

// latestRecord is the latest revision as nodes read it. It contains the decoded
// document; only the history contains the text.
type latestRecord struct {
	Record
	Doc json.RawMessage `json:"doc"` // in the form of spec.Encode
}

// Edit is a change of a document.
type Edit struct {
	Team   string
	Base   uint64 // revision that the edit is based on; 0 for none
	ID     string // unique for each edit; retries of an edit have the same
	Author string
	Text   []byte
}

// ConflictError says that an edit is not based on the latest revision.
type ConflictError struct {
	Base   uint64
	Latest Record
}

// Error names the revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("team %q is at revision %d, not %d: read the document again and redo the edit", e.Latest.Team, e.Latest.Revision, e.Base)
}

// ServiceTakenError says that a service belongs to another team.
type ServiceTakenError struct {
	Service string
	Team    string
}

// Error names the service and its team.
func (e *ServiceTakenError) Error() string {
	return fmt.Sprintf("service %q belongs to team %q", e.Service, e.Team)
}

// NoDocumentError says that a team has no document.
type NoDocumentError struct {
	Team string
}

// Error names the team.
func (e *NoDocumentError) Error() string {
	return fmt.Sprintf("team %q has no document", e.Team)
}

// Editor edits documents. It may be used by several goroutines.
type Editor struct {
	store store.Store
}

// New returns an editor over a key-value service.
func New(s store.Store) *Editor {
	return &Editor{store: s}
}

// Get returns the latest revision of a team's document.
func (e *Editor) Get(ctx context.Context, team string) (Record, error) {
	r, _, err := e.latest(ctx, team)
	if err != nil {
		return r, err
	}
	if r.Revision == 0 {
		return r, &NoDocumentError{Team: team}
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

// latest returns the latest revision without its text, and the store revision of
// its key. Both revisions are 0 if the team has no document.
func (e *Editor) latest(ctx context.Context, team string) (Record, int64, error) {
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

// historyKey returns the key of a history entry. The number has leading zeros so
// that keys sort by revision.
func historyKey(team string, revision uint64) string {
	return fmt.Sprintf("%s%s/%010d", historyPrefix, team, revision)
}

// Apply applies an edit and returns the revision that it became. The error is a
// *spec.ParseError, a *ConflictError, a *ServiceTakenError or one of package
// store. After a *store.UnknownError the same edit may be applied again.
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
	var unknown *store.UnknownError
	for {
		r, final, err := e.applyOnce(ctx, edit, next, doc)
		if final {
			return r, err
		}
		errors.As(err, &unknown)
		// An error is returned at once only if no attempt so far can have had
		// an effect. A retry cannot apply the edit twice: the transaction fails
		// unless the base is still the latest revision.
		if unknown == nil {
			return r, err
		}
		if !wait.For(ctx, retryBackoff) {
			return Record{}, unknown
		}
	}
}

// applyOnce makes one attempt to apply an edit, and reports whether its result
// is final.
func (e *Editor) applyOnce(ctx context.Context, edit Edit, next Record, doc *spec.Document) (Record, bool, error) {
	accepted, ok, err := e.accepted(ctx, next)
	if err != nil || ok {
		return accepted, ok, err
	}
	latest, storeRevision, err := e.latest(ctx, edit.Team)
	if err != nil {
		return Record{}, false, err
	}
	if latest.Revision != edit.Base {
		return Record{}, true, &ConflictError{Base: edit.Base, Latest: latest}
	}
	conditions := []store.Condition{{Key: documentPrefix + edit.Team, Revision: storeRevision}}
	writes, err := revisionWrites(next, doc)
	if err != nil {
		return Record{}, true, err
	}
	serviceConditions, serviceWrites, err := e.serviceOwnership(ctx, edit.Team, doc)
	if err != nil {
		return Record{}, true, err
	}
	ok, err = e.store.Commit(ctx, append(conditions, serviceConditions...), append(writes, serviceWrites...))
	if err != nil {
		return Record{}, false, err
	}
	if ok {
		return next, true, nil
	}
	// Another edit was accepted since the read, or an earlier attempt of this one
	// took effect. The next attempt finds out which.
	return Record{}, false, &store.UnknownError{Op: "apply", Key: documentPrefix + edit.Team, Err: errors.New("the document or the owner of a service has changed since it was read")}
}

// revisionWrites returns the writes that add a revision to the history and make
// it the latest.
func revisionWrites(next Record, doc *spec.Document) ([]store.Write, error) {
	historyValue, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode document record")
	}
	r := latestRecord{Record: next}
	r.Text = ""
	if r.Doc, err = spec.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	latestValue, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode document record")
	}
	return []store.Write{
		{Key: documentPrefix + next.Team, Value: latestValue},
		{Key: historyKey(next.Team, next.Revision), Value: historyValue},
	}, nil
}

// accepted returns the stored revision with the number of next, and whether it
// exists and is the result of the same edit.
func (e *Editor) accepted(ctx context.Context, next Record) (Record, bool, error) {
	got, err := e.store.Get(ctx, historyKey(next.Team, next.Revision))
	if err != nil || len(got.Entries) == 0 {
		return Record{}, false, err
	}
	r, err := decode(got.Entries[0])
	return r, err == nil && r.Edit == next.Edit, err
}

// serviceOwnership returns the conditions under which the team owns the services
// of doc, and the writes that make it the owner of new ones. It returns a
// *ServiceTakenError if a service belongs to another team.
func (e *Editor) serviceOwnership(ctx context.Context, team string, doc *spec.Document) ([]store.Condition, []store.Write, error) {
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
			return nil, nil, &ServiceTakenError{Service: s.Name, Team: string(entry.Value)}
		}
		conditions = append(conditions, store.Condition{Key: servicePrefix + s.Name, Revision: entry.Revision})
		if !taken {
			writes = append(writes, store.Write{Key: servicePrefix + s.Name, Value: []byte(team)})
		}
	}
	return conditions, writes, nil
}

// Restore makes the key-value service hold a revision that is in force and that the
// service lost when it was restored from a copy, unless it holds a newer one. The text of
// the revision is not restored, as nodes hold only the decoded document. If another edit
// has been accepted under the same number meanwhile, it becomes the next revision, as
// nodes would not replace the one in force by it.
func (e *Editor) Restore(ctx context.Context, now time.Time, rev kernel.Revision) error {
	key := documentPrefix + rev.Team
	got, err := e.store.Get(ctx, key)
	if err != nil {
		return err
	}
	var latest latestRecord
	var storeRevision int64
	if len(got.Entries) > 0 {
		storeRevision = got.Entries[0].Revision
		if err := json.Unmarshal(got.Entries[0].Value, &latest); err != nil {
			return errors.Wrapf(err, "decode %s", key)
		}
	}
	next, doc := Record{Team: rev.Team, Revision: rev.Number, Edit: rev.EditID, Author: restoredBy, Time: now}, rev.Doc
	switch {
	case latest.Revision > rev.Number, latest.Revision == rev.Number && latest.Edit == rev.EditID:
		return nil
	case latest.Revision == rev.Number:
		next = latest.Record
		next.Revision++
		if doc, err = spec.Decode(latest.Doc); err != nil {
			return errors.Wrapf(err, "decode %s", key)
		}
	}
	writes, err := revisionWrites(next, doc)
	if err != nil {
		return err
	}
	conditions, serviceWrites, err := e.serviceOwnership(ctx, rev.Team, doc)
	if err != nil {
		return err
	}
	conditions = append(conditions, store.Condition{Key: key, Revision: storeRevision})
	// If a condition fails, another node or an edit was faster.
	_, err = e.store.Commit(ctx, conditions, append(writes, serviceWrites...))
	return err
}

// Changed returns the documents that changed after a store revision, and the
// store revision from which the next call continues. A document that cannot be
// decoded was written by a later version of the program; skipped contains its
// team, or its key if the team cannot be decoded either.
func (e *Editor) Changed(ctx context.Context, after int64) (revisions []kernel.Revision, cursor int64, skipped []string, err error) {
	got, err := e.store.List(ctx, documentPrefix, after)
	if err != nil {
		return nil, after, nil, err
	}
	for _, entry := range got.Entries {
		var r latestRecord
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			skipped = append(skipped, entry.Key)
			continue
		}
		doc, err := spec.Decode(r.Doc)
		if err != nil {
			skipped = append(skipped, r.Team)
			continue
		}
		revisions = append(revisions, kernel.Revision{Team: r.Team, Number: r.Revision, EditID: r.Edit, Body: r.Doc, Doc: doc})
	}
	return revisions, got.Revision, skipped, nil
}
