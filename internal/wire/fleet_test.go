package wire

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/relay"
)

// TestHandoffKeepsAnyBytes guards against requests and replies that cannot be passed between hosts
// because what a caller or a target sent is no UTF-8.
func TestHandoffKeepsAnyBytes(t *testing.T) {
	const odd = "caf\xe9 \xff"
	headers := []relay.Header{{Name: "X-Name", Value: odd}}
	sent := &relay.Request{ID: odd, Method: odd, Host: odd, Target: "/" + odd, Headers: headers, Body: []byte(odd)}
	call := &GatherCall{}
	pass(t, FromHandoff(&relay.Handoff{Request: sent}), call)
	got := call.ToRequest()
	got.Gather = nil
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("request %+v, want %+v", got, sent)
	}
	for _, answer := range []*relay.Answer{
		{Response: &relay.Response{Status: 200, Proof: odd, Headers: headers, Body: []byte(odd)}},
		{Gathered: true, Parts: []relay.Part{{Shard: 1, Proof: odd}}, Body: []byte(odd)},
	} {
		reply := &GatherReply{}
		pass(t, FromAnswer(answer), reply)
		if got := reply.ToAnswer(); !reflect.DeepEqual(got, answer) {
			t.Errorf("answer %+v, want %+v", got, answer)
		}
	}
}

func pass(t *testing.T, from, to proto.Message) {
	t.Helper()
	encoded, err := proto.Marshal(from)
	if err == nil {
		err = proto.Unmarshal(encoded, to)
	}
	if err != nil {
		t.Fatal(err)
	}
}
