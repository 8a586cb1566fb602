// Package wire holds the messages between routers, generated from wire.proto.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=github.com/jujubeford/jujubeford internal/wire/wire.proto
