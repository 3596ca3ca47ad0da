package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/schema"
)

// errNoReplies is returned if a member has not replied to a delivery in time.
var errNoReplies = errors.New("no reply to a delivery in time")

// link is a stream of deliveries to one member. Deliveries do not wait for the replies to earlier
// ones, which only prove that the connection works. A link belongs to one goroutine, except for
// the fields under mu.
type link struct {
	stream grpc.BidiStreamingClient[schema.Delivery, schema.DeliveryReply]
	cancel context.CancelCauseFunc
	// replyTimeout is the time within which a delivery must be replied to.
	replyTimeout time.Duration
	// err is why the stream has ended; set before done is closed.
	err  error
	done chan struct{}

	mu sync.Mutex
	// sentAt are the times of the deliveries without a reply, oldest first; guarded by mu.
	sentAt []time.Time
	// timer ends the link when the oldest of them is due; guarded by mu.
	timer *time.Timer
}

// openLink opens a stream to a member within replyTimeout.
func openLink(client schema.PeerClient, replyTimeout time.Duration) (*link, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	opening := time.AfterFunc(replyTimeout, func() { cancel(errNoReplies) })
	stream, err := client.DeliverAll(ctx)
	if !opening.Stop() {
		err = errNoReplies
	}
	if err != nil {
		cancel(nil)
		return nil, errors.Newf("open stream of deliveries: %w", err)
	}
	l := &link{stream: stream, cancel: cancel, replyTimeout: replyTimeout, done: make(chan struct{})}
	l.timer = time.AfterFunc(replyTimeout, func() { cancel(errNoReplies) })
	l.timer.Stop()
	go func() {
		defer close(l.done)
		l.err = l.receiveReplies(ctx)
		cancel(nil)
	}()
	return l, nil
}

// receiveReplies receives replies until the stream ends, and returns why it has.
func (l *link) receiveReplies(ctx context.Context) error {
	for {
		_, err := l.stream.Recv()
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
		if err != nil {
			return errors.Newf("receive reply: %w", err)
		}
		l.replied()
	}
}

// replied records the reply to the oldest delivery.
func (l *link) replied() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sentAt) > 0 {
		l.sentAt = l.sentAt[1:]
	}
	if len(l.sentAt) == 0 {
		l.timer.Stop()
		return
	}
	l.timer.Reset(time.Until(l.sentAt[0].Add(l.replyTimeout)))
}

// send sends a delivery. After an error the link ends.
func (l *link) send(d *schema.Delivery) error {
	l.mu.Lock()
	l.sentAt = append(l.sentAt, time.Now())
	if len(l.sentAt) == 1 {
		l.timer.Reset(l.replyTimeout)
	}
	l.mu.Unlock()
	if err := l.stream.Send(d); err != nil {
		return errors.Newf("send delivery: %w", err)
	}
	return nil
}

// close ends the stream.
func (l *link) close() {
	l.timer.Stop()
	l.cancel(nil)
	<-l.done
}
