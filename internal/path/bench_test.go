package path_test

import (
	"context"
	"net"
	"testing"

	"github.com/go-logr/logr"

	"fennelyard/internal/path"
)

// BenchmarkDial measures what the choice of a path adds to a connection that stands at once.
func BenchmarkDial(b *testing.B) {
	conn, _ := net.Pipe()
	d := path.New(path.Config{
		Direct: func(context.Context, string) (net.Conn, error) { return conn, nil },
		Hosts:  func() (preferred, others []string) { return nil, nil }, Cooling: func(string) bool { return false }, OnChange: func() {},
		Random: func(int) int { return 0 }, Log: logr.Discard(),
	})
	defer d.Close()
	for b.Loop() {
		if _, err := d.Dial(context.Background(), "server"); err != nil {
			b.Fatal(err)
		}
	}
}
