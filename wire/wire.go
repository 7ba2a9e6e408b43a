// Package wire defines the messages that nodes send each other.
//
// The types are generated from wire.proto and committed. A message is not
// changed after it has been sent or received, so several goroutines may read
// it at once.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --plugin=protoc-gen-go=../bin/protoc-gen-go wire.proto
