// Package peerpb holds the generated messages and connect-go stubs of the
// protocol between hosts.
//
// # Usage
//
// The generated files are committed, so a build needs no generator. After a
// change of peer.proto run go generate here, with protoc, protoc-gen-go v1.36.12
// and protoc-gen-connect-go v1.19.2 on the path.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative,simple=false peer.proto
