package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard"
)

type callerFlags struct {
	addresses  []string
	customer   string
	dataCentre string
	deadline   time.Duration
}

func (f *callerFlags) addTo(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.addresses, "addresses", nil, "caller addresses (IP:PORT) of the deployment")
	c.Flags().StringVar(&f.dataCentre, "data-centre", "", "data centre of the caller")
	if err := c.MarkFlagRequired("addresses"); err != nil {
		panic(err)
	}
}

func (f *callerFlags) client() *fennelyard.Client {
	return fennelyard.NewClient(fennelyard.ClientOptions{
		Addresses: f.addresses, Customer: f.customer, DataCentre: f.dataCentre, Deadline: f.deadline,
	})
}

func newEntries() *cobra.Command {
	var flags callerFlags
	var output string
	c := &cobra.Command{
		Use:     "entries --addresses IP:PORT",
		Short:   "Print the addresses that a caller should use",
		Example: "  fennelyard entries --addresses 10.0.0.1:7001 --data-centre hall-a",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := flags.client().Entries(c.Context())
			if err != nil {
				return err
			}
			if output == outputJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(map[string][]string{"addresses": list})
			}
			for _, a := range list {
				_, _ = fmt.Fprintln(c.OutOrStdout(), a)
			}
			return nil
		},
	}
	flags.addTo(c)
	addOutputFlag(c, &output)
	return c
}

func newSend() *cobra.Command {
	var flags callerFlags
	var model, prompt, service, path, body, key string
	c := &cobra.Command{
		Use:   "send --addresses IP:PORT --customer NAME (--model NAME | --service NAME)",
		Short: "Send one request to a model or to a service",
		Long: `send fetches the directory of the deployment, sends one request to an entry and
prints the whole response. A request to a service is a POST that runs at most
once; use --key to retry it.`,
		Example: "  fennelyard send --addresses 10.0.0.1:7001 --customer quillen-ridge --model planner-small --prompt hello\n" +
			"  fennelyard send --addresses 10.0.0.1:7001 --customer quillen-ridge --service booking-api --path book --body '{}' --key ride-7",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := newRequest(model, prompt, service, path, body, key)
			if err != nil {
				return err
			}
			response, err := flags.client().Do(c.Context(), r)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", response.Body())
			return err
		},
	}
	flags.addTo(c)
	c.Flags().StringVar(&flags.customer, "customer", "", "customer that the request is for")
	c.Flags().DurationVar(&flags.deadline, "deadline", 30*time.Second, "maximum time to wait for the response")
	c.Flags().StringVar(&model, "model", "", "name of the model or adapter")
	c.Flags().StringVar(&prompt, "prompt", "", "user message for the model")
	c.Flags().StringVar(&service, "service", "", "name of the service")
	c.Flags().StringVar(&path, "path", "", "path within the service")
	c.Flags().StringVar(&body, "body", "", "body of the request; @FILE reads it from a file")
	c.Flags().StringVar(&key, "key", "", "idempotency key that identifies the request across retries")
	return c
}

// newRequest returns the request to a model or to a service that the flags describe.
func newRequest(model, prompt, service, path, body, key string) (fennelyard.Request, error) {
	if (model == "") == (service == "") {
		return fennelyard.Request{}, errors.Newf("either --model or --service is required: %w", errUsage)
	}
	if model != "" {
		data, err := json.Marshal(map[string]any{
			"model": model, "messages": []map[string]string{{"role": "user", "content": prompt}},
		})
		return fennelyard.Request{Method: http.MethodPost, Path: "/v1/chat/completions", Body: data, Repeatable: true}, err
	}
	data := []byte(body)
	if len(body) > 0 && body[0] == '@' {
		var err error
		if data, err = os.ReadFile(body[1:]); err != nil {
			return fennelyard.Request{}, errors.Newf("read request body: %w", err)
		}
	}
	return fennelyard.Request{Method: http.MethodPost, Path: "/services/" + service + "/" + path, Body: data, Key: key}, nil
}
