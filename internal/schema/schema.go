// Package schema contains the types of all messages and of the settings, generated
// from the .proto files in this folder. The generated code is committed, so that a
// build needs no generator.
package schema

//go:generate sh -c "protoc -I . --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-go-grpc=$(go tool -n protoc-gen-go-grpc) settings.proto ledger.proto wire.proto api.proto"
