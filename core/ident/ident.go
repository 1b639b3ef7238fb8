// Package ident defines the identifiers and counters that all parts of the router share.
package ident

import "strings"

type (
	// Service is the unique name of a service to which requests are routed.
	Service string

	// Server is the id of a backend server, "SERVICE/NAME". It is unique over all services.
	Server string

	// Daemon is the name of a host that runs heatherrouterd. A replacement host gets a new name or a new Incarnation.
	Daemon string

	// Domain is the name of a failure domain.
	Domain string

	// Region is the name of a group of failure domains.
	Region string

	// Organisation is the name of a customer whose callers authenticate with API keys.
	Organisation string

	// Request is the id of one caller's request.
	Request string

	// Doc is the name of a replicated document, such as "config" or "part/SERVICE".
	Doc string

	// Row is the name of a row of a document, such as "server/NAME".
	Row string

	// Txn is the unique id of a table transaction. If the reply to a commit is lost, reading the id back from the table
	// shows whether the transaction was committed.
	Txn string
)

type (
	// Shard is the number of a shard, a range of a service's 64-bit hash space.
	Shard uint32

	// Epoch is the number of a lease of one server or of an ownership of one shard. A higher epoch supersedes lower ones.
	Epoch uint64

	// Rev is the revision of a document: the number of transactions committed to it.
	Rev uint64

	// Hash is the 64-bit hash of a key.
	Hash uint64

	// Incarnation identifies one run of a daemon or backend server.
	Incarnation uint64
)

// ServerID returns the id of a backend server, given its service and its name within the service.
func ServerID(s Service, short string) Server {
	return Server(string(s) + "/" + short)
}

// Service returns the service that the backend server belongs to.
func (s Server) Service() Service {
	name, _, _ := strings.Cut(string(s), "/")
	return Service(name)
}

// ConfigDoc is the document that holds all published service files and drains.
const ConfigDoc Doc = "config"

// AssignmentsDoc returns the document that holds the shard assignments of one service.
func AssignmentsDoc(s Service) Doc {
	return Doc("part/" + string(s))
}
