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

const editTimeout = 10 * time.Second

// Addresses is the answer to a caller that asks which addresses to use.
type Addresses struct {
	TTL       float64   `json:"ttl"` // seconds
	Addresses []Address `json:"addresses"`
}

// Address is one entry host, in the order of preference.
type Address struct {
	Addr   string `json:"addr"`
	Centre string `json:"centre"`
}

// Lists the nodes that a caller may use: those of its own data centre first,
// each group in random order, so that callers spread.
func (f *Front) serveAddresses(ctx *fasthttp.RequestCtx) *apierr.Error {
	if err := allow(ctx, fasthttp.MethodGet); err != nil {
		return err
	}
	centre := string(ctx.QueryArgs().Peek("centre"))
	view := member.Of(f.cfg.Daemon.State())
	list := Addresses{TTL: f.cfg.TTL.Seconds(), Addresses: []Address{}}
	for _, m := range view.Serving() {
		list.Addresses = append(list.Addresses, Address{Addr: m.GetFront(), Centre: m.GetCentre()})
	}
	a := list.Addresses
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
	slices.SortStableFunc(a, func(x, y Address) int { return far(x, centre) - far(y, centre) })
	return writeJSON(ctx, list)
}

func far(a Address, centre string) int {
	if a.Centre == centre {
		return 0
	}
	return 1
}

// Edit is the body of PUT /v1/documents/TEAM.
type Edit struct {
	Base uint64 `json:"base"` // revision that the author read
	ID   string `json:"id"`   // of the edit, unique
	Text string `json:"text"`
}

// Conflict is the answer to an edit that came after another one.
type Conflict struct {
	Current editor.Record `json:"current"`
}

// Serves GET and PUT /v1/documents/TEAM and GET /v1/documents/TEAM/history.
func (f *Front) serveDocuments(ctx *fasthttp.RequestCtx, rest string) *apierr.Error {
	author, fail := f.operator(ctx)
	if fail != nil {
		return fail
	}
	team, history, _ := strings.Cut(rest, "/")
	wait, cancel := context.WithTimeout(f.ctx, editTimeout)
	defer cancel()
	switch {
	case history == "history" && ctx.IsGet():
		records, err := f.cfg.Daemon.Editor().History(wait, team)
		if err != nil {
			return documentError(ctx, err)
		}
		return writeJSON(ctx, records)
	case history == "" && ctx.IsGet():
		r, err := f.cfg.Daemon.Editor().Get(wait, team)
		if err != nil {
			return documentError(ctx, err)
		}
		return writeJSON(ctx, r)
	case history == "" && ctx.IsPut():
		return f.applyEdit(wait, ctx, author, team)
	case history == "" || history == "history":
		return allow(ctx, fasthttp.MethodGet, fasthttp.MethodPut)
	}
	return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "path %q does not exist", ctx.Path())
}

func (f *Front) applyEdit(wait context.Context, ctx *fasthttp.RequestCtx, author, team string) *apierr.Error {
	var e Edit
	if err := json.Unmarshal(ctx.PostBody(), &e); err != nil {
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "body is not a valid edit: %v", err)
	}
	if e.ID == "" {
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "field id is empty")
	}
	r, err := f.cfg.Daemon.Editor().Apply(wait, time.Now(), editor.Edit{
		Team: team, Base: e.Base, ID: e.ID, Author: author, Text: []byte(e.Text),
	})
	if err != nil {
		return documentError(ctx, err)
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "edit", Detail: author + " made " + team + " revision " + itoa(int(r.Revision))})
	return writeJSON(ctx, r)
}

func documentError(ctx *fasthttp.RequestCtx, err error) *apierr.Error {
	var parse *spec.ParseError
	var conflict *editor.ConflictError
	var taken *editor.TakenError
	var missing *editor.MissingError
	var unknown *store.UnknownError
	switch {
	case errors.As(err, &parse):
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadDocument, "%v", err)
	case errors.As(err, &conflict), errors.As(err, &taken):
		return apierr.NotRun(fasthttp.StatusConflict, apierr.CodeConflict, "%v", err)
	case errors.As(err, &missing):
		return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "%v", err)
	case errors.As(err, &unknown):
		return apierr.Unknown(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", err).WithRetry(retryAfter)
	}
	return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "%v", err).WithRetry(retryAfter)
}

// Status is a node's state as operators see it.
type Status struct {
	Node      string   `json:"node"`
	Centre    string   `json:"centre"`
	Ready     bool     `json:"ready"`
	Stopping  bool     `json:"stopping"`
	Documents []Held   `json:"documents"`
	Members   []Member `json:"members"`
	Shards    []Shard  `json:"shards"`
	Requests  [2]int   `json:"requests"` // without and with a place
}

// Held is a document revision in force.
type Held struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// Member is a node as another one sees it.
type Member struct {
	ID     string `json:"id"`
	Front  string `json:"front"`
	Centre string `json:"centre"`
	State  string `json:"state"`
}

// Shard is the load of a shard that the node owns.
type Shard struct {
	Key     string `json:"key"`
	Waiting int    `json:"waiting"`
	Granted int    `json:"granted"`
}

func (f *Front) serveStatus(ctx *fasthttp.RequestCtx) *apierr.Error {
	if _, err := f.operator(ctx); err != nil {
		return err
	}
	s := f.cfg.Daemon.State()
	view := member.Of(s)
	table := route.Of(s)
	st := Status{
		Node:     view.Self().GetId(),
		Centre:   view.Self().GetCentre(),
		Ready:    f.policy().Ready(),
		Stopping: table.Stopping(),
		Requests: [2]int{table.Pending(), table.Running()},
	}
	for _, r := range f.policy().Revisions() {
		st.Documents = append(st.Documents, Held{Team: r.Team, Revision: r.Number})
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

// Lists the entries of the event record after a sequence number.
func (f *Front) serveTimeline(ctx *fasthttp.RequestCtx) *apierr.Error {
	if _, err := f.operator(ctx); err != nil {
		return err
	}
	after := ctx.QueryArgs().GetUintOrZero("after")
	entries := f.cfg.Daemon.Trace().After(uint64(after))
	if entries == nil {
		entries = []trace.Entry{}
	}
	return writeJSON(ctx, entries)
}
