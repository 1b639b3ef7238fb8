// Package ident names the identities and counters that every part of the router shares.
package ident

import "strings"

type (
	// Service is the name of a routed service, unique over all services.
	Service string

	// Server names one backend server as "service/server"; it is unique over all services.
	Server string

	// Daemon names one heatherrouterd host. A replaced host gets a new name or a new Incarnation.
	Daemon string

	// Domain names a failure domain.
	Domain string

	// Region names a region, a group of failure domains.
	Region string

	// Organisation names a customer whose callers authenticate with API keys.
	Organisation string

	// Request is the id of one caller's request.
	Request string

	// Doc names one replicated document, such as "config" or "part/SERVICE".
	Doc string

	// Row names one row of a document, such as "server/NAME".
	Row string

	// Txn is the unique id of one table transaction; a lost reply is settled by reading it back.
	Txn string
)

type (
	// Shard numbers a range of a service's 64-bit hash space.
	Shard uint32

	// Epoch counts the leases of one server or the ownerships of one shard; a higher epoch supersedes a lower one.
	Epoch uint64

	// Rev counts the committed transactions of one document.
	Rev uint64

	// Hash is the 64-bit hash of a key.
	Hash uint64

	// Incarnation tells two lives of one daemon or backend server apart.
	Incarnation uint64
)

// MakeServer joins the name of a service and the short name of one of its backend servers.
func MakeServer(s Service, short string) Server {
	return Server(string(s) + "/" + short)
}

// Service returns the service that the backend server belongs to.
func (s Server) Service() Service {
	name, _, _ := strings.Cut(string(s), "/")
	return Service(name)
}

// ConfigDoc is the document that holds every published service file and drain.
const ConfigDoc Doc = "config"

// PartDoc returns the document that holds the assignments of one service.
func PartDoc(s Service) Doc {
	return Doc("part/" + string(s))
}
