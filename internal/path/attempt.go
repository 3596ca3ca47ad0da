package path

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/tcp"
	"fennelyard/internal/tunnel"
)

// attempt connects to one server, over several paths if need be. The first connection is used, the
// others are closed. Its fields belong to the goroutine of run, and later to that of settle.
type attempt struct {
	d       *Dialer
	address string
	// lost is set if the path counted as lost at the start: only other hosts are asked then.
	lost bool
	// results receives the result of each path; pending counts those that are outstanding.
	results chan result
	pending int
	// asked are the hosts asked so far, askedAt when, and refused and silent the number of them for
	// which the server refused the connection or did not respond.
	asked           []string
	askedAt         map[string]time.Time
	refused, silent int
	// unsure is the number of hosts for which the server refused the connection and that reached no
	// other one either.
	unsure int
	// declined is the number of hosts that carry connections, but none to this server.
	declined int
	// directErr is the error of the direct path, nil while it is pending or not tried, and lastErr that
	// of the path that failed last.
	directErr, lastErr error
}

// result is the result of one path; via is empty for the direct one.
type result struct {
	conn net.Conn
	via  string
	err  error
}

func newAttempt(d *Dialer, address string) *attempt {
	return &attempt{d: d, address: address, lost: d.use(address), results: make(chan result, maxAsked+1), askedAt: map[string]time.Time{}}
}

func (a *attempt) run(ctx context.Context) (net.Conn, error) {
	tunnelCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	// The direct path is tried to its end even if another one is used: only its result shows whether it
	// is lost or slow.
	directCtx, cancelDirect := context.WithTimeout(context.WithoutCancel(ctx), tcp.ConnectTimeout)
	if !a.lost || !a.ask(tunnelCtx) {
		if a.lost && a.d.Lost() {
			cancelDirect()
			return nil, a.fail(ErrNoPath)
		}
		a.connect(directCtx)
	}
	if !a.lost && a.d.Unreached() {
		a.ask(tunnelCtx)
	}
	conn, err := a.await(ctx, tunnelCtx)
	if err != nil {
		cancelDirect()
	}
	finish := func() {
		defer cancelDirect()
		a.settle(conn)
	}
	if a.pending > 0 {
		a.d.attempts.Go(finish)
	} else {
		finish()
	}
	return conn, err
}

// connect starts the direct path.
func (a *attempt) connect(ctx context.Context) {
	a.pending++
	go func() {
		conn, err := a.d.Connect(ctx, a.address)
		a.results <- result{conn: conn, err: err}
	}()
}

// ask asks another host. It returns false if there is none to ask.
func (a *attempt) ask(ctx context.Context) bool {
	slow := len(a.asked) - a.declined - a.unsure
	limit := maxHostsAsked
	if a.directRefused() {
		limit = maxHostsAskedRefused
	}
	if ctx.Err() != nil || slow >= limit || len(a.asked) >= maxAsked || a.refused+a.silent >= minOpinions {
		return false
	}
	host := ""
	if a.declined > 0 {
		host = a.d.lastCarrier(a.address, a.asked)
	}
	if host == "" {
		host, _ = a.d.nextHost(a.asked)
	}
	if host == "" || !a.lost && !a.d.reserveUnconfirmed() {
		return false
	}
	a.asked, a.askedAt[host] = append(a.asked, host), time.Now()
	a.pending++
	unconfirmed := !a.lost
	go func() {
		conn, err := a.d.cfg.Through(ctx, host, a.address)
		if unconfirmed {
			a.d.releaseUnconfirmed()
		}
		a.results <- result{conn: conn, via: host, err: err}
	}()
	return true
}

// await returns the first connection, or an error once all paths have failed.
func (a *attempt) await(ctx, tunnelCtx context.Context) (net.Conn, error) {
	timer := time.NewTimer(tunnelDelay)
	defer timer.Stop()
	for {
		select {
		case r := <-a.results:
			a.apply(r)
			if r.err == nil {
				return r.conn, nil
			}
			if !a.ask(tunnelCtx) && a.pending == 0 {
				return nil, a.fail(ctx.Err())
			}
			if r.via == "" {
				timer.Reset(confirmDelay)
			}
		case <-timer.C:
			if a.confirmed() {
				return nil, a.fail(ctx.Err())
			}
			a.ask(tunnelCtx)
			if a.directErr != nil {
				timer.Reset(confirmDelay)
				continue
			}
			timer.Reset(tunnelDelay)
		case <-tunnelCtx.Done():
			return nil, a.fail(ctx.Err())
		}
	}
}

// apply records the result of a path that was not given up.
func (a *attempt) apply(r result) {
	a.pending--
	if r.via == "" {
		a.applyDirect(r)
		return
	}
	switch {
	case r.err == nil:
		return
	case errors.Is(r.err, syscall.ECONNREFUSED):
		a.refused++
	case errors.Is(r.err, tunnel.ErrRefusedUnsure):
		a.unsure++
	case errors.Is(r.err, tunnel.ErrServerSilent):
		a.silent++
	case errors.Is(r.err, tunnel.ErrServerCooling), errors.Is(r.err, tunnel.ErrNotToServer):
		a.declined++
	default:
		a.d.setAside(r.via, r.err)
	}
	a.lastErr = r.err
}

func (a *attempt) applyDirect(r result) {
	if r.err != nil {
		a.directErr, a.lastErr = r.err, r.err
	}
}

// settle waits for the paths that were not used, and records whether the direct one is lost.
func (a *attempt) settle(used net.Conn) {
	usedAt := time.Now()
	patience := tunnelDelay
	if a.directRefused() {
		patience = confirmDelay
	}
	for ; a.pending > 0; a.pending-- {
		r := <-a.results
		switch {
		case r.via == "" && used != nil:
			a.applyDirect(r)
		case (used != nil || a.directRefused()) && r.err != nil && usedAt.Sub(a.askedAt[r.via]) >= patience:
			// The server responds to others or refuses this host at once, so that the asked host is what
			// is slow.
			a.d.setAside(r.via, r.err)
		}
		if r.conn != nil {
			tcp.Reset(r.conn)
		}
	}
	via, tunneled := used.(interface{ Via() string })
	switch {
	case !tunneled:
	case a.lost:
		a.d.recordCarried(a.address, via.Via())
	case a.directErr != nil:
		a.d.recordLost(a.address, via.Via(), a.directErr)
	}
}

// fail returns the error of an attempt without a connection, and records it unless it was given up.
func (a *attempt) fail(cause error) error {
	switch {
	case cause != nil && !errors.Is(cause, ErrNoPath):
		return errors.Newf("connect to %s: %w", a.address, cause)
	case cause != nil || a.lost && a.d.Lost() && a.refused+a.silent+a.unsure+a.declined == 0:
		return errors.Newf("connect to %s: hosts asked: %d: %w", a.address, len(a.asked), ErrNoPath)
	}
	err := a.failure()
	a.d.recordFailed(a.address, slices.Clone(a.asked), err)
	if !a.lost {
		// The direct path may still be hanging.
		a.d.recordDirectFailure(a.address)
	}
	return err
}

func (a *attempt) directRefused() bool { return errors.Is(a.directErr, syscall.ECONNREFUSED) }

// confirmed reports whether the server has refused this host and another one, and no host got no response
// from it.
func (a *attempt) confirmed() bool { return a.directRefused() && a.refused > 0 && a.silent == 0 }

// confirmedAlone reports whether the server has refused this host, no other host responds, and this one reaches
// another server: a host that is cut off from all others would never find out that servers end.
func (a *attempt) confirmedAlone() bool {
	if !a.directRefused() || len(a.asked) == 0 || a.refused+a.silent+a.unsure+a.declined > 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*confirmDelay)
	defer cancel()
	return a.d.ReachesOther(ctx, a.address)
}

// failure returns the error of a server that no path leads to. It wraps ECONNREFUSED only if that is
// no fault of this host's path, or if there is no other host to ask.
func (a *attempt) failure() error {
	left, hostsKnown := a.d.nextHost(a.asked)
	// Hosts that are unsure have perhaps lost their paths as well: they count only if nobody else is left to
	// ask.
	unsure := a.silent == 0 && a.unsure > 0 && left == ""
	ended := a.confirmed() || a.directRefused() && (!hostsKnown || unsure) || a.refused >= minOpinions || a.confirmedAlone()
	switch {
	case ended:
		return errors.Newf("connect to %s: refused also to %d other hosts: %w", a.address, a.refused+a.unsure, syscall.ECONNREFUSED)
	case a.lastErr != nil:
		return errors.Newf("connect to %s: %v; refused to %d other hosts, silent to %d", a.address, a.lastErr, a.refused+a.unsure, a.silent)
	}
	return errors.Newf("connect to %s: no response; refused to %d other hosts, silent to %d", a.address, a.refused+a.unsure, a.silent)
}
