// Package message holds a request as it is forwarded and a response as a client gets it, the headers of
// the protocol, and how both become bytes. It does not read from connections, choose backends or decide
// what is answered: frontend reads requests and writes responses, proxy makes responses. A request may be
// encoded by several goroutines at once; a response belongs to one.
package message
