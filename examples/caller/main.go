// Command caller requests a completion from a deployment and makes a booking.
//
//	go run ./examples/caller 127.0.0.1:7001
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"fennelyard"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: caller IP:PORT ...")
		os.Exit(2)
	}
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(addresses []string) error {
	client := fennelyard.NewClient(fennelyard.ClientOptions{Addresses: addresses, Customer: "quillen-ridge"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	completion, err := client.Complete(ctx, []byte(`{"model":"planner-small","messages":[]}`))
	if err != nil {
		return fmt.Errorf("complete: %w", err)
	}
	fmt.Printf("%s\n", completion.Body())
	// The key makes a retry of the booking safe.
	booked, err := client.Do(ctx, fennelyard.Request{
		Method: http.MethodPost, Path: "/services/booking-api/book", Body: []byte(`{"rider":7}`), Key: fennelyard.NewKey(),
	})
	if err != nil {
		return fmt.Errorf("book: %w", err)
	}
	fmt.Printf("%s\n", booked.Body())
	return nil
}
