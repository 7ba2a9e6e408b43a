package intake

import "time"

// What connections and requests cost, in bytes. The costs are upper estimates of the resident memory.
const (
	ConnCost    = 16 << 10 // a connection without a request: goroutine, read buffer, state
	RequestCost = 32 << 10 // a request beside its head and body: goroutines, write buffers, the connection to an endpoint
	byteCost    = 4        // a byte of a head, which is parsed, cloned and encoded
	lineCost    = 256      // a line of a head besides its bytes: entries of the header maps
	// UnreadCost is what the kernel may hold for a connection that is not read.
	UnreadCost = 2 * ReceiveBuffer
	// BodyUnreadCost is what it may hold for one on which a large body arrives.
	BodyUnreadCost = 2 * BodyBuffer
)

// Sizes of the kernel's receive buffer of a client's connection, in bytes, of which the kernel may use
// twice as much. It bounds what has arrived and has not been read. Each connection has one, so that it is
// small until there is room for the body of a request.
const (
	ReceiveBuffer = 8 << 10
	BodyBuffer    = 32 << 10
)

const (
	ownMemory      = 32 << 20 // bytes that a node needs without clients
	minOwnShare    = 0.2      // of the memory that clients get at least
	clientShare    = 0.4      // of the memory beside ownMemory; responses, garbage and the kernel's buffers take the others
	bulkShare      = 2.0 / 3  // of the clients' memory, for large requests
	smallRequest   = 128 << 10
	spareSockets   = 8 // 1/spareSockets of the sockets are for other nodes, the store and listeners
	stall          = 500 * time.Millisecond
	DefaultMemory  = 256 << 20 // bytes of a host whose memory is not known
	DefaultSockets = 4096      // sockets of a process whose limit is not known
)

// LimitsFor returns the limits of a node on a host with the given memory, in bytes, whose process may
// have a number of sockets open. Zero stands for DefaultMemory and DefaultSockets. Each request in
// flight may need a second socket, to an endpoint.
func LimitsFor(memory int64, sockets int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	return LimitsOf(int64(max(clientShare*float64(memory-ownMemory), minOwnShare*float64(memory))), sockets)
}

// LimitsOf returns the limits of a node whose clients may occupy n bytes, and whose process may have a number
// of sockets open; zero sockets stand for DefaultSockets.
func LimitsOf(n int64, sockets int) Limits {
	if sockets <= 0 {
		sockets = DefaultSockets
	}
	return Limits{
		Bytes: n,
		Bulk:  int64(bulkShare * float64(n)),
		Small: smallRequest,
		Conns: (sockets - sockets/spareSockets) / 2,
		Stall: stall,
	}
}

// HeadCost returns the cost of a head of n bytes in a number of lines.
func HeadCost(n, lines int) int64 { return byteCost*int64(n) + lineCost*int64(lines) }

const (
	strangerShare = 16  // 1/strangerShare of the memory and of the sockets is for connections of unknown nodes
	maxStrangers  = 512 // such connections
	minStrangers  = 16
)

// StrangerLimitsFor is LimitsFor for accepted connections whose other side claims to be a node and has not said
// which one yet. They have limits of their own, so that clients cannot separate nodes from each other.
func StrangerLimitsFor(memory int64, sockets int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if sockets <= 0 {
		sockets = DefaultSockets
	}
	n := memory / strangerShare
	return Limits{Bytes: n, Bulk: n, Small: n, Conns: min(max(sockets/strangerShare, minStrangers), maxStrangers), Stall: stall}
}
