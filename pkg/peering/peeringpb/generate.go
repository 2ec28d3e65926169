// Package peeringpb holds the generated messages and twirp service between
// instances. The generated files are committed; a build needs no generator.
package peeringpb

//go:generate sh -c "cd ../../.. && mkdir -p bin && go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp && PATH=$DOLLAR(pwd)/bin:$DOLLAR{PATH} protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative pkg/peering/peeringpb/peering.proto"
