package membership

import (
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	maxDatagramBytes     = 8 << 10
	ticksPerProbeTimeout = 4
	inboxSize            = 256
	stopAnnouncements    = 2
)

// ServiceConfig configures a Service. All fields are required but Log.
type ServiceConfig struct {
	List *List
	// Conn is bound to this host's peer address.
	Conn net.PacketConn
	// Addresses contains the peer address of every host by name.
	Addresses map[string]string
	Log       logr.Logger
	// Load returns the number of requests in flight.
	Load func() int
}

// Service runs a List over datagrams. It is safe for concurrent use.
type Service struct {
	cfg  ServiceConfig
	stop chan struct{}
	done chan struct{}
	once sync.Once

	mu sync.Mutex
	// list is guarded by mu.
	list    *List
	changed chan struct{}
}

// NewService starts to send probes and to reply to them. It takes ownership of the
// connection.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{
		cfg: cfg, list: cfg.List, changed: make(chan struct{}),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	inbox := make(chan *schema.Probe, inboxSize)
	ticker := time.NewTicker(s.list.cfg.ProbeTimeout / ticksPerProbeTimeout)
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		s.read(inbox)
	}()
	go func() {
		defer close(s.done)
		defer reader.Wait()
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case p := <-inbox:
				s.step(func() []Datagram { return s.list.Receive(time.Now(), p) })
			case <-ticker.C:
				s.step(func() []Datagram {
					s.list.SetLoad(uint32(s.cfg.Load()))
					return s.list.Tick(time.Now())
				})
			}
		}
	}()
	return s
}

func (s *Service) read(inbox chan<- *schema.Probe) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.cfg.Conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-s.stop:
				return
			default:
				// A datagram rejected by a dead host is reported here too.
				if _, temporary := err.(net.Error); temporary {
					continue
				}
				return
			}
		}
		p := &schema.Probe{}
		if proto.Unmarshal(buf[:n], p) != nil {
			continue
		}
		select {
		case inbox <- p:
		default:
		}
	}
}

func (s *Service) step(f func() []Datagram) {
	s.mu.Lock()
	datagrams := f()
	if s.list.TakeChanged() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	for _, datagram := range datagrams {
		s.send(datagram)
	}
}

// send sends a datagram. It returns no error: probing tolerates lost datagrams.
func (s *Service) send(datagram Datagram) {
	address, err := net.ResolveUDPAddr("udp", s.cfg.Addresses[datagram.To])
	if err != nil {
		return
	}
	data, err := proto.Marshal(datagram.Probe)
	if err != nil {
		return
	}
	if _, err := s.cfg.Conn.WriteTo(data, address); err != nil {
		s.cfg.Log.V(1).Info("probe not sent", "host", datagram.To, "reason", err.Error())
	}
}

// Facts returns the known state of every host, this host first.
func (s *Service) Facts() []*schema.HostFact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Facts()
}

// Changed returns a channel that is closed when the state of any host changes.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// AnnounceStopping announces to all other hosts that this host accepts no new callers.
func (s *Service) AnnounceStopping() {
	s.step(func() []Datagram { return s.list.AnnounceStop(false) })
}

// Stop announces to all other hosts that this host has left, and stops the service.
func (s *Service) Stop() {
	s.once.Do(func() {
		for range stopAnnouncements {
			s.step(func() []Datagram { return s.list.AnnounceStop(true) })
		}
		close(s.stop)
		_ = s.cfg.Conn.Close()
	})
	<-s.done
}

// Done returns a channel that is closed when the service has stopped.
func (s *Service) Done() <-chan struct{} { return s.done }
