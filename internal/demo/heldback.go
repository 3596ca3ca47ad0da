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
	// crashBody is the body of a booking that crashes the server that runs it.
	crashBody = `{"rider":"harmful"}`
	// extraApplications is the number of booking servers besides the first one.
	extraApplications = 8
	// maxCrashAttempts bounds the attempts to have that booking held back.
	maxCrashAttempts = 20
)

// heldBackDemo shows a request that crashes the servers that run it: it is detected, held
// back at every host and released by an operator, while other bookings are served.
type heldBackDemo struct {
	*deployment
	applications []*standin.Application
	key          string
}

func (h *heldBackDemo) steps() []step {
	return []step{
		{"eight more booking servers announce themselves", h.startServers},
		{"a booking that crashes each server that runs it is held back", h.repeatUntilHeldBack},
		{"every host holds it back", h.checkAllHosts},
		{"other bookings are served", h.bookOthers},
		{"an operator finds it", h.findSuspect},
		{"and releases it", h.releaseSuspect},
	}
}

func (h *heldBackDemo) startServers(ctx context.Context) (string, error) {
	for i := range extraApplications {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 61+i))
		if err != nil {
			return "", errors.Newf("listen: %w", err)
		}
		h.applications = append(h.applications, standin.NewApplication(standin.ApplicationConfig{
			Listener: l, Name: fmt.Sprintf("booking-%d", i+2), DataCentre: h.layout.Hosts()[i%hostCount].DataCentre,
			Service: service, Entries: h.layout.Backends(), CrashBody: crashBody, Crashed: func() { h.crashed.Add(1) },
		}))
	}
	const all = engineCount + 1 + extraApplications
	return fmt.Sprintf("%d servers known", all), poll(ctx, func() bool {
		s, err := h.operator.Status(ctx)
		return err == nil && len(s.GetServers()) == all
	})
}

// book sends a booking with a new key through the directory of one host.
func (h *heldBackDemo) book(ctx context.Context, host int, body string) error {
	c := fennelyard.NewClient(fennelyard.ClientOptions{Addresses: []string{h.layout.Hosts()[host].Caller}, Customer: customer})
	_, err := c.Do(ctx, fennelyard.Request{
		Method: http.MethodPost, Path: "/services/" + service + "/book", Body: []byte(body), Key: fennelyard.NewKey(),
	})
	return err
}

// heldBack sends the crashing booking and reports whether it was held back, and after what
// time the caller may retry.
func (h *heldBackDemo) heldBack(ctx context.Context, host int) (time.Duration, bool) {
	var refused *fennelyard.Error
	if err := h.book(ctx, host, crashBody); !errors.As(err, &refused) {
		return 0, false
	}
	return refused.RetryAfter(), refused.Code() == refusal.HeldBack.String()
}

func (h *heldBackDemo) repeatUntilHeldBack(ctx context.Context) (string, error) {
	began := time.Now()
	for n := range maxCrashAttempts {
		if after, held := h.heldBack(ctx, n%hostCount); held {
			return fmt.Sprintf("%d servers crashed in %s, retry after %s", h.crashed.Load(), time.Since(began).Round(time.Millisecond),
				after.Round(time.Second)), nil
		}
	}
	return "", errors.Newf("the booking is not held back, %d servers have crashed", h.crashed.Load())
}

// awaitHeldBack waits until every host holds a request back, or until none does.
func (h *heldBackDemo) awaitHeldBack(ctx context.Context, held bool) error {
	for _, host := range h.layout.Hosts() {
		client := operator.NewClient(host.Operator)
		if err := poll(ctx, func() bool {
			list, err := client.Suspects(ctx)
			return err == nil && (firstHeldBack(list) != "") == held
		}); err != nil {
			return errors.Newf("%s: %w", host.Name, err)
		}
	}
	return nil
}

func (h *heldBackDemo) checkAllHosts(ctx context.Context) (string, error) {
	if err := h.awaitHeldBack(ctx, true); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d hosts, %d servers have crashed", hostCount, h.crashed.Load()), nil
}

func (h *heldBackDemo) bookOthers(ctx context.Context) (string, error) {
	for host := range hostCount {
		if err := h.book(ctx, host, `{"rider":8}`); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d of %d", hostCount, hostCount), nil
}

func (h *heldBackDemo) findSuspect(ctx context.Context) (string, error) {
	list, err := h.operator.Suspects(ctx)
	if err != nil {
		return "", err
	}
	if h.key = firstHeldBack(list); h.key == "" {
		return "", errors.New("nothing is held back")
	}
	return fmt.Sprintf("request %s...", h.key[:8]), nil
}

// firstHeldBack returns the key of the first request in the list that is held back, or "".
func firstHeldBack(list *schema.SuspectList) string {
	for _, s := range list.GetSuspects() {
		if s.GetHeldBackForMs() > 0 {
			return s.GetKey()
		}
	}
	return ""
}

func (h *heldBackDemo) releaseSuspect(ctx context.Context) (string, error) {
	if _, err := h.operator.Release(ctx, h.key, &schema.ReleaseRequest{Operator: "demo"}); err != nil {
		return "", err
	}
	if err := h.awaitHeldBack(ctx, false); err != nil {
		return "", err
	}
	return "no host holds it back any more", nil
}

func (h *heldBackDemo) close() {
	for _, a := range h.applications {
		a.Close()
	}
}
