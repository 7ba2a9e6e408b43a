package fleet

import (
	"cmp"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

const (
	tableItem      = "table"     // name of the item that holds the routing table
	endpointPrefix = "endpoint/" // before the endpoint's id in the name of its item
)

// Version orders the records of an endpoint. The store gives out the same revisions
// again after it has been restored from a copy, in the next era.
type Version struct {
	Era      int64 // number of the restoration; 0 in messages of builds without eras
	Revision int64 // store revision of the last change
}

// Compare returns a negative number if v is older than w, a positive one if it is
// newer, and 0 if they are equal.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision))
}

func versionOf(item *wire.Item) Version {
	return Version{Era: item.GetEra(), Revision: item.GetRevision()}
}

// ItemError reports that an item cannot be encoded or decoded.
type ItemError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ItemError) Error() string { return "item " + e.Name + ": " + e.Err.Error() }

// Unwrap returns the cause of the error.
func (e *ItemError) Unwrap() error { return e.Err }

// TableItem encodes a routing table as an item.
func TableItem(cfg table.Config, v Version) (*wire.Item, error) {
	body, err := json.Marshal(cfg)
	if err != nil {
		return nil, &ItemError{Name: tableItem, Err: err}
	}
	return &wire.Item{Name: tableItem, Era: v.Era, Revision: v.Revision, Body: body}, nil
}

// EndpointItem encodes an endpoint as an item.
func EndpointItem(e Endpoint, v Version) (*wire.Item, error) {
	body, err := proto.Marshal(&wire.Endpoint{
		Service: e.Service,
		Addr:    e.Addr,
		Centre:  e.Centre,
		Slots:   uint32(e.Slots),
		Leaving: e.Leaving,
		Version: e.Version,
		Born:    e.StartMillis,
		Cold:    uint32(min(max(e.ColdFor, 0), maxColdTime).Milliseconds()),
	})
	if err != nil {
		return nil, &ItemError{Name: e.ID, Err: err}
	}
	return &wire.Item{Name: endpointPrefix + e.ID, Era: v.Era, Revision: v.Revision, Body: body}, nil
}

// RemovedItem returns the tombstone of an endpoint.
func RemovedItem(id string, v Version) *wire.Item {
	return &wire.Item{Name: endpointPrefix + id, Era: v.Era, Revision: v.Revision, Removed: true}
}

// decodeItem returns the record of an item, or a record without content and an error.
func decodeItem(item *wire.Item) (record, error) {
	r := record{item: item}
	if _, evacuation := evacuationOf(item); evacuation {
		return r, nil
	}
	var err error
	if _, versions := versionsServiceOf(item); versions {
		r.versions, err = decodeVersions(item)
	} else if item.GetName() == tableItem {
		r.table, err = decodeTable(item)
	} else {
		r.endpoint, err = decodeEndpoint(item)
	}
	return r, err
}

func decodeTable(item *wire.Item) (*table.Table, error) {
	var cfg table.Config
	if err := json.Unmarshal(item.GetBody(), &cfg); err != nil {
		return nil, &ItemError{Name: item.GetName(), Err: err}
	}
	return table.New(cfg), nil
}

func decodeEndpoint(item *wire.Item) (Endpoint, error) {
	id, ok := strings.CutPrefix(item.GetName(), endpointPrefix)
	if !ok {
		return Endpoint{}, &ItemError{Name: item.GetName(), Err: errors.New("unknown kind of item")}
	}
	if item.GetRemoved() {
		return Endpoint{ID: id}, nil
	}
	var body wire.Endpoint
	if err := proto.Unmarshal(item.GetBody(), &body); err != nil {
		return Endpoint{}, &ItemError{Name: item.GetName(), Err: err}
	}
	return Endpoint{
		ID:          id,
		Service:     body.GetService(),
		Addr:        body.GetAddr(),
		Centre:      body.GetCentre(),
		Slots:       int(body.GetSlots()),
		Leaving:     body.GetLeaving(),
		Version:     body.GetVersion(),
		StartMillis: body.GetBorn(),
		ColdFor:     time.Duration(body.GetCold()) * time.Millisecond,
		hash:        xxhash.Sum64String(id),
	}, nil
}
