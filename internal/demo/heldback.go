package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard"
	"fennelyard/internal/operator"
	"fennelyard/internal/refusal"
	"fennelyard/internal/schema"
	"fennelyard/internal/standin"
)

const (
	harmfulBody = `{"rider":"harmful"}`
	// harmfulServers are the booking servers beside the first.
	harmfulServers = 8
	// harmfulTries is how often its caller repeats it at the most.
	harmfulTries = 20
)

// harmful shows a request that ends the servers that run it: it is found, held back at every
// host, and released by an operator, while other bookings are served.
type harmful struct {
	*deployment
	apps []*standin.Application
	key  string
}

func (h *harmful) steps() []step {
	return []step{
		{"eight more booking servers announce themselves", h.startServers},
		{"a booking that ends each server that runs it is held back", h.repeat},
		{"every host holds it back", h.everywhere},
		{"other bookings are served", h.other},
		{"an operator finds it", h.find},
		{"and releases it", h.release},
	}
}

func (h *harmful) startServers(ctx context.Context) (string, error) {
	for i := range harmfulServers {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 61+i))
		if err != nil {
			return "", errors.Newf("listen: %w", err)
		}
		h.apps = append(h.apps, standin.NewApplication(standin.ApplicationConfig{
			Listener: l, Name: fmt.Sprintf("booking-%d", i+2), DataCentre: h.layout.Hosts()[i%hostCount].DataCentre,
			Service: service, Entries: h.layout.Backends(), CrashBody: harmfulBody, Crashed: func() { h.ended.Add(1) },
		}))
	}
	const all = engineCount + 1 + harmfulServers
	return fmt.Sprintf("%d servers known", all), poll(ctx, func() bool {
		s, err := h.oper.Status(ctx)
		return err == nil && len(s.GetServers()) == all
	})
}

// book sends a booking, by the directory of one host.
func (h *harmful) book(ctx context.Context, host int, body string) error {
	c := fennelyard.NewClient(fennelyard.ClientOptions{Addresses: []string{h.layout.Hosts()[host].Caller}, Customer: customer})
	_, err := c.Do(ctx, fennelyard.Request{
		Method: http.MethodPost, Path: "/services/" + service + "/book", Body: []byte(body), Key: fennelyard.NewKey(),
	})
	return err
}

// heldBack returns when the caller may come back, if the harmful booking is held back.
func (h *harmful) heldBack(ctx context.Context, host int) (time.Duration, bool) {
	var refused *fennelyard.Error
	if err := h.book(ctx, host, harmfulBody); !errors.As(err, &refused) {
		return 0, false
	}
	return refused.RetryAfter(), refused.Code() == refusal.HeldBack.String()
}

func (h *harmful) repeat(ctx context.Context) (string, error) {
	began := time.Now()
	for n := range harmfulTries {
		if after, held := h.heldBack(ctx, n%hostCount); held {
			return fmt.Sprintf("%d servers ended in %s, back in %s", h.ended.Load(), time.Since(began).Round(time.Millisecond),
				after.Round(time.Second)), nil
		}
	}
	return "", errors.Newf("it is not held back, %d servers have ended", h.ended.Load())
}

// await waits until every host holds a request back, or none does.
func (h *harmful) await(ctx context.Context, held bool) error {
	for _, host := range h.layout.Hosts() {
		at := operator.NewClient(host.Operator)
		if err := poll(ctx, func() bool {
			list, err := at.Suspects(ctx)
			return err == nil && (heldBackOf(list) != "") == held
		}); err != nil {
			return errors.Newf("%s: %w", host.Name, err)
		}
	}
	return nil
}

func (h *harmful) everywhere(ctx context.Context) (string, error) {
	if err := h.await(ctx, true); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d hosts, %d servers have ended", hostCount, h.ended.Load()), nil
}

func (h *harmful) other(ctx context.Context) (string, error) {
	for host := range hostCount {
		if err := h.book(ctx, host, `{"rider":8}`); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d of %d", hostCount, hostCount), nil
}

func (h *harmful) find(ctx context.Context) (string, error) {
	list, err := h.oper.Suspects(ctx)
	if err != nil {
		return "", err
	}
	if h.key = heldBackOf(list); h.key == "" {
		return "", errors.New("nothing is held back")
	}
	return fmt.Sprintf("request %s...", h.key[:8]), nil
}

// heldBackOf returns the key of the first request of a list that is held back, or "".
func heldBackOf(list *schema.SuspectList) string {
	for _, s := range list.GetSuspects() {
		if s.GetHeldBackForMs() > 0 {
			return s.GetKey()
		}
	}
	return ""
}

func (h *harmful) release(ctx context.Context) (string, error) {
	if _, err := h.oper.Release(ctx, h.key, &schema.ReleaseRequest{Operator: "demo"}); err != nil {
		return "", err
	}
	if err := h.await(ctx, false); err != nil {
		return "", err
	}
	return "no host holds it back any more", nil
}

func (h *harmful) close() {
	for _, a := range h.apps {
		a.Close()
	}
}
