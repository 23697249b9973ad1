package operator

import (
	"context"
	"net"
	"testing"
)

// startServer runs a server for the API until the test ends and returns its address.
func startServer(t *testing.T, a *api) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := (&Operator{OperatorsToken: "secret"}).newServer(context.Background(), a)
	end := make(chan error, 1)
	go func() { end <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}
