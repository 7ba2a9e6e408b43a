package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/admit"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/editor"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/route"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/valyala/fasthttp"
)

const documentTimeout = 10 * time.Second // to read or edit a document

// Addresses is the response to GET /v1/addresses: the addresses that a caller may
// use.
type Addresses struct {
	TTL       float64   `json:"ttl"`       // seconds that the caller may keep the list
	Addresses []Address `json:"addresses"` // in order of preference
}

// Address is the address of one node for callers.
type Address struct {
	Addr   string `json:"addr"`
	Centre string `json:"centre"`
}

// serveAddresses serves GET /v1/addresses. It lists the serving nodes: those of
// the data centre that the caller names first, then the others. Both groups are in
// random order, so that callers spread over the nodes.
func (f *Front) serveAddresses(ctx *fasthttp.RequestCtx) *apierr.Error {
	if err := checkMethod(ctx, fasthttp.MethodGet); err != nil {
		return err
	}
	centre := string(ctx.QueryArgs().Peek("centre"))
	view := member.Of(f.cfg.Daemon.State())
	list := Addresses{TTL: f.cfg.AddressTTL.Seconds(), Addresses: []Address{}}
	for _, m := range view.Serving() {
		list.Addresses = append(list.Addresses, Address{Addr: m.GetFront(), Centre: m.GetCentre()})
	}
	a := list.Addresses
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
	slices.SortStableFunc(a, func(x, y Address) int { return centreRank(x, centre) - centreRank(y, centre) })
	return writeJSON(ctx, list)
}

// centreRank returns the sort rank of an address: 0 within the data centre, 1
// outside.
func centreRank(a Address, centre string) int {
	if a.Centre == centre {
		return 0
	}
	return 1
}

// Edit is the body of PUT /v1/documents/TEAM.
type Edit struct {
	Base uint64 `json:"base"` // revision that the edit is based on
	ID   string `json:"id"`   // unique id of the edit
	Text string `json:"text"` // the whole document
}

// Conflict is the form of a response to an edit whose base is not the current
// revision. The front does not send it: its response to such an edit is an
// apierr.Error.
type Conflict struct {
	Current editor.Record `json:"current"`
}

// serveDocuments serves GET and PUT /v1/documents/TEAM and GET
// /v1/documents/TEAM/history.
func (f *Front) serveDocuments(ctx *fasthttp.RequestCtx, rest string) *apierr.Error {
	author, apiErr := f.identifyOperator(ctx)
	if apiErr != nil {
		return apiErr
	}
	team, subpath, _ := strings.Cut(rest, "/")
	opCtx, cancel := context.WithTimeout(f.ctx, documentTimeout)
	defer cancel()
	switch {
	case subpath == "history" && ctx.IsGet():
		records, err := f.cfg.Daemon.Editor().History(opCtx, team)
		if err != nil {
			return documentError(ctx, err)
		}
		return writeJSON(ctx, records)
	case subpath == "" && ctx.IsGet():
		r, err := f.cfg.Daemon.Editor().Get(opCtx, team)
		if err != nil {
			return documentError(ctx, err)
		}
		return writeJSON(ctx, r)
	case subpath == "" && ctx.IsPut():
		return f.applyEdit(opCtx, ctx, author, team)
	case subpath == "" || subpath == "history":
		return checkMethod(ctx, fasthttp.MethodGet, fasthttp.MethodPut)
	}
	return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "path %q does not exist", ctx.Path())
}

// applyEdit stores the edit in the request's body as a new revision of the team's
// document. opCtx limits the call to the editor.
func (f *Front) applyEdit(opCtx context.Context, ctx *fasthttp.RequestCtx, author, team string) *apierr.Error {
	var e Edit
	if err := json.Unmarshal(ctx.PostBody(), &e); err != nil {
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "body is not a valid edit: %v", err)
	}
	if e.ID == "" {
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "field id is empty")
	}
	r, err := f.cfg.Daemon.Editor().Apply(opCtx, time.Now(), editor.Edit{
		Team: team, Base: e.Base, ID: e.ID, Author: author, Text: []byte(e.Text),
	})
	if err != nil {
		return documentError(ctx, err)
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "edit", Detail: author + " saved " + team + " revision " + itoa(int(r.Revision))})
	return writeJSON(ctx, r)
}

// documentError returns the error response for an error of the editor.
func documentError(ctx *fasthttp.RequestCtx, err error) *apierr.Error {
	var parse *spec.ParseError
	var conflict *editor.ConflictError
	var taken *editor.ServiceTakenError
	var missing *editor.NoDocumentError
	var unknown *store.UnknownError
	switch {
	case errors.As(err, &parse):
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadDocument, "%v", err)
	case errors.As(err, &conflict), errors.As(err, &taken):
		return apierr.NotRun(fasthttp.StatusConflict, apierr.CodeConflict, "%v", err)
	case errors.As(err, &missing):
		return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "%v", err)
	case errors.As(err, &unknown):
		return apierr.Unknown(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", err).WithRetryAfter(retryAfter)
	}
	return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", err).WithRetryAfter(retryAfter)
}

// Status is the response to GET /v1/status: the state of the node that responds.
type Status struct {
	Node      string             `json:"node"`
	Centre    string             `json:"centre"`
	Ready     bool               `json:"ready"`
	Stopping  bool               `json:"stopping"`
	Documents []DocumentRevision `json:"documents"`
	Members   []Member           `json:"members"`
	Shards    []Shard            `json:"shards"`
	Requests  [2]int             `json:"requests"` // numbers of requests without and with a grant
}

// DocumentRevision names the revision in force of a team's document.
type DocumentRevision struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// Member is a node as seen by the node that responds.
type Member struct {
	ID     string `json:"id"`
	Front  string `json:"front"`
	Centre string `json:"centre"`
	State  string `json:"state"`
}

// Shard holds the numbers of requests at a shard that the node owns.
type Shard struct {
	Key     string `json:"key"`
	Waiting int    `json:"waiting"`
	Granted int    `json:"granted"`
}

func (f *Front) serveStatus(ctx *fasthttp.RequestCtx) *apierr.Error {
	if _, err := f.identifyOperator(ctx); err != nil {
		return err
	}
	s := f.cfg.Daemon.State()
	view := member.Of(s)
	requests := route.Of(s)
	st := Status{
		Node:     view.Self().GetId(),
		Centre:   view.Self().GetCentre(),
		Ready:    f.policy().Ready(),
		Stopping: requests.Stopping(),
		Requests: [2]int{requests.Pending(), requests.Running()},
	}
	for _, r := range f.policy().Revisions() {
		st.Documents = append(st.Documents, DocumentRevision{Team: r.Team, Revision: r.Number})
	}
	for _, p := range view.Peers() {
		m := p.Member
		st.Members = append(st.Members, Member{ID: m.GetId(), Front: m.GetFront(), Centre: m.GetCentre(), State: strings.ToLower(m.GetState().String())})
	}
	for key, sh := range admit.Of(s).Shards() {
		st.Shards = append(st.Shards, Shard{Key: key, Waiting: sh.Waiting(), Granted: sh.Granted()})
	}
	slices.SortFunc(st.Shards, func(a, b Shard) int { return strings.Compare(a.Key, b.Key) })
	return writeJSON(ctx, st)
}

// serveTimeline serves GET /v1/timeline. It lists the trace entries whose sequence
// number exceeds the parameter after.
func (f *Front) serveTimeline(ctx *fasthttp.RequestCtx) *apierr.Error {
	if _, err := f.identifyOperator(ctx); err != nil {
		return err
	}
	after := ctx.QueryArgs().GetUintOrZero("after")
	entries := f.cfg.Daemon.Trace().After(uint64(after))
	if entries == nil {
		entries = []trace.Entry{}
	}
	return writeJSON(ctx, entries)
}
