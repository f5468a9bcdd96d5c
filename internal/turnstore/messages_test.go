package turnstore

import (
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// serveMessage decodes a message as the transport does and serves it.
func serveMessage[Request, Response any](ctx context.Context, payload []byte, serve func(context.Context, transport.Peer, Request) (Response, error)) {
	var request Request
	if json.Unmarshal(payload, &request) == nil {
		_, _ = serve(ctx, transport.Peer{NodeID: "peer"}, request)
	}
}

// FuzzMessages serves arbitrary messages of peers: a panic would end the process.
func FuzzMessages(f *testing.F) {
	for kind := range uint8(6) {
		for _, payload := range []string{
			`{}`, `null`, `{"r":[{}]}`, `{"r":[{"turn":null,"charge":null}]}`, `{"r":[{"turn":{},"charge":{}}]}`, `{"r":[{}],"e":1}`, `{"r":{"t":"x"},"e":1}`,
			`{"s":-1,"e":-1,"a":18446744073709551615,"k":["t","r1:ab","s9:a"]}`, `{"s":{"epoch":9}}`, `{"e":1,"p":"x","t":true,"l":{"x":1}}`,
			`{"s":{"epoch":9,"copies":1,"members":[{"name":"n","address":"a"}]},"m":["",""]}`,
		} {
			f.Add(kind, []byte(payload))
		}
	}
	network := transport.New(transport.Options{Cluster: "test", NodeID: "n", Logger: events.Discard()})
	f.Cleanup(network.Close)
	replica, err := NewReplica(ReplicaOptions{Self: Member{Name: "n", Address: "127.0.0.1:1"}, Folder: f.TempDir(), Copies: 1, Size: 1}, network, events.Discard())
	assert.NilError(f, err)
	replica.ApplySet(ReplicaSet{Epoch: 1, Members: []Member{{Name: "n", Address: "127.0.0.1:1"}}, Copies: 1, Size: 1})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		replica.log.Run(ctx)
	}()
	f.Cleanup(func() {
		stop()
		<-done
	})
	f.Fuzz(func(_ *testing.T, kind uint8, payload []byte) {
		switch kind % 6 {
		case 0:
			serveMessage(ctx, payload, replica.serveOpen)
		case 1:
			serveMessage(ctx, payload, replica.servePut)
		case 2:
			serveMessage(ctx, payload, replica.serveDigest)
		case 3:
			serveMessage(ctx, payload, replica.serveFetch)
		case 4:
			serveMessage(ctx, payload, replica.serveFence)
		case 5:
			serveMessage(ctx, payload, replica.serveSync)
		}
	})
}
