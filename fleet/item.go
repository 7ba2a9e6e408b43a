package fleet

import (
	"encoding/json"
	"strings"

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
func TableItem(cfg table.Config, revision int64) (*wire.Item, error) {
	body, err := json.Marshal(cfg)
	if err != nil {
		return nil, &ItemError{Name: tableItem, Err: err}
	}
	return &wire.Item{Name: tableItem, Revision: revision, Body: body}, nil
}

// EndpointItem encodes an endpoint as an item.
func EndpointItem(e Endpoint, revision int64) (*wire.Item, error) {
	body, err := proto.Marshal(&wire.Endpoint{
		Service: e.Service,
		Addr:    e.Addr,
		Centre:  e.Centre,
		Slots:   uint32(e.Slots),
		Leaving: e.Leaving,
		Born:    e.StartMillis,
	})
	if err != nil {
		return nil, &ItemError{Name: e.ID, Err: err}
	}
	return &wire.Item{Name: endpointPrefix + e.ID, Revision: revision, Body: body}, nil
}

// RemovedItem returns the tombstone of an endpoint.
func RemovedItem(id string, revision int64) *wire.Item {
	return &wire.Item{Name: endpointPrefix + id, Revision: revision, Removed: true}
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
		StartMillis: body.GetBorn(),
		hash:        xxhash.Sum64String(id),
	}, nil
}
