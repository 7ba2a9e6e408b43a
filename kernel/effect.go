package kernel

import (
	"time"

	"github.com/plantaindeck/plantaindeck/wire"
)

// Effect is an action that a Step asks its driver to carry out. The set of
// effects is closed.
type Effect interface {
	isEffect()
}

// Send sends a message to another node. A message that cannot be delivered is
// dropped; a plug-in that depends on delivery retries.
type Send struct {
	To    string // id of the node
	Frame *wire.Frame
}

// Raise passes an event to every plug-in within the same Step. The kernel
// handles it itself, so drivers never receive one.
type Raise struct {
	Event Event
}

// Grant tells a waiting request that it has been granted an endpoint, and
// which one.
type Grant struct {
	Request  string // id of the request
	Endpoint string
	Addr     string // address of the endpoint
}

// Reject tells a waiting request that it will not run.
type Reject struct {
	Request    string // id of the request
	Reason     Reason
	RetryAfter time.Duration // time from now after which a retry is useful; zero if none is advised
}

// Reason is the reason for a rejection.
type Reason string

// Reasons for a rejection.
const (
	ReasonDeadline  Reason = "deadline"   // the deadline passed without a grant
	ReasonOverload  Reason = "overload"   // the queue is full, or the request was shed: it would not be granted before its deadline
	ReasonNoService Reason = "no-service" // no document in force names the service, or the service has no endpoints
)

// ReadDocuments asks the driver to read the documents that changed after a revision
// of the key-value service. They arrive as DocumentRead events, followed by a
// ReadDocumentsEnded.
type ReadDocuments struct {
	Cursor int64 // revision of the key-value service up to which documents are known
}

// AdoptDocument tells the driver that a document revision is now in force on this node.
type AdoptDocument struct {
	Document Revision
}

// WatchLoad asks the driver to read the load of these engines repeatedly. It
// replaces the list of any earlier WatchLoad.
type WatchLoad struct {
	Endpoints []LoadTarget
}

// LoadTarget is an engine whose load the driver reads.
type LoadTarget struct {
	Service  string
	Endpoint string
	Addr     string
}

// NotifyLeaving tells the driver that an endpoint is leaving or has been removed.
type NotifyLeaving struct {
	Endpoint string
	GoneAt   time.Time // when the endpoint will be gone; zero if unknown
}

// OriginFound tells the asker of an OriginAsked which software began the stream.
type OriginFound struct {
	Ask     string // id of the question
	Known   bool   // whether any node that was asked knows the stream
	Service string
	Version string // of the software of the endpoint that made the first event
}

// NotifyQuarantine tells the driver that requests with all of these traits are quarantined.
type NotifyQuarantine struct {
	Traits []uint64
}

// NotifyCrash tells the driver that another node has reported the crash of an endpoint.
type NotifyCrash struct {
	Endpoint    string
	StartMillis int64 // as in EndpointCrashed
}

// SaveQuarantine asks the driver to write a quarantine to the platform's store, where it
// outlasts all nodes, or to remove it.
type SaveQuarantine struct {
	Traits     []uint64
	Quarantine *wire.Quarantine // nil to remove it
}

// SaveOrigin tells the driver which software began a stream that its caller may take up again, so that
// the driver can write it to the platform's store, where it outlasts all nodes.
type SaveOrigin struct {
	Request string // id of the request that brought the first event
	Service string
	Version string
}

// Record adds an entry to the node's trace.
type Record struct {
	Kind      string // short name of what happened, such as "grant"
	Request   string
	Workspace string
	Endpoint  string
	Detail    string
}

func (Send) isEffect()             {}
func (Raise) isEffect()            {}
func (Grant) isEffect()            {}
func (Reject) isEffect()           {}
func (ReadDocuments) isEffect()    {}
func (AdoptDocument) isEffect()    {}
func (WatchLoad) isEffect()        {}
func (NotifyLeaving) isEffect()    {}
func (OriginFound) isEffect()      {}
func (SaveQuarantine) isEffect()   {}
func (SaveOrigin) isEffect()       {}
func (NotifyQuarantine) isEffect() {}
func (NotifyCrash) isEffect()      {}
func (Record) isEffect()           {}
