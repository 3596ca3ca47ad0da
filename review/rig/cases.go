package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playShortNotice takes one of the servers away at short notice while it answers. The rule is MIXED:
// an answer that ends early must not look complete.
func playShortNotice(d *deployment) error {
	if err := d.startAll(); err != nil {
		return err
	}
	const requests, pieces = 12, 24
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range requests {
		c, err := dialCaller(d.callerAddress(i % entries))
		if err != nil {
			return err
		}
		defer c.close()
		d.record.add("caller: sends %s, a safe request whose answer has %d pieces", requestID(i), pieces)
		wg.Go(func() {
			answers[i] = c.exchange(requestID(i), fmt.Sprintf("%s%d", safePrefix, pieces))
			d.record.add("caller: got for %s: %v", requestID(i), answers[i])
		})
	}
	time.Sleep(time.Second)
	if d.trouble {
		if err := d.takeAway(d.serverOf(requestID(0))); err != nil {
			return err
		}
	}
	wg.Wait()
	partial, whole := 0, 0
	for _, a := range answers {
		switch {
		case a.status != http.StatusOK || !a.complete():
		case pieceCount(a.body) < pieces:
			partial++
		default:
			whole++
		}
	}
	d.record.add("check: of %d answers %d are a success with the server's whole body, %d a success with a part of it", requests, whole, partial)
	switch {
	case partial > 0:
		return fmt.Errorf("MIXED: %d callers got a complete 200 with a part of the server's body: %w", partial, errBroken)
	case !d.trouble && whole < requests:
		return fmt.Errorf("%d of %d answers were whole without a disruption", whole, requests)
	}
	return nil
}

func requestID(i int) string { return fmt.Sprintf("read-%d", i+1) }

// takeAway takes a server away, noticeMs after the notice.
func (d *deployment) takeAway(server string) error {
	if d.full {
		if err := d.fillServers(); err != nil {
			return err
		}
	}
	if !d.noNotice {
		if err := d.signal(server, syscall.SIGUSR1); err != nil {
			return err
		}
	}
	time.Sleep(noticeMs * time.Millisecond)
	return d.kill(server)
}

// fillServers sends requests to an entry that all servers reject as they are full.
func (d *deployment) fillServers() error {
	for i := range servers / maxServersTried {
		c, err := dialCaller(d.callerAddress(0))
		if err != nil {
			return err
		}
		id := fmt.Sprintf("full-%d", i+1)
		d.record.add("caller: got for %s: %v", id, c.exchange(id, strings.TrimSuffix(safePrefix, "/")+fullPath))
		c.close()
	}
	return nil
}

// maxServersTried is the number of full servers that an entry tries for a request.
const maxServersTried = 3

// playPlannedStop stops an entry by SIGTERM. The rule is LOST, around planned work: a request that the
// entry took on later than 3 s after the signal and passed on is cut off.
func playPlannedStop(d *deployment) error {
	if err := d.startAll(); err != nil {
		return err
	}
	// A stream from before the signal, which ends well within GraceS.
	first, err := dialCaller(d.callerAddress(0))
	if err != nil {
		return err
	}
	defer first.close()
	var wg sync.WaitGroup
	var firstAnswer answer
	d.record.add("caller 1: sends stream-1, 24 pieces")
	wg.Go(func() {
		firstAnswer = first.exchange("stream-1", streamPrefix+"24")
		d.record.add("caller 1: got for stream-1: %v", firstAnswer)
	})
	time.Sleep(time.Second)
	ttl, err := d.resolve()
	if err != nil {
		return err
	}
	stopped := time.Now()
	if d.trouble {
		if err := d.signal(entryName(0), syscall.SIGTERM); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(stopped.Add(2 * time.Second)))
	second, err := dialCaller(d.callerAddress(0))
	if err != nil {
		return fmt.Errorf("connect 2 s after the signal: %w", err)
	}
	defer second.close()
	d.record.add("caller 2: connected %.3f s after the signal, by an answer of the directory that it keeps for %.0f s", time.Since(stopped).Seconds(), 3*ttl)
	time.Sleep(time.Until(stopped.Add(4 * time.Second)))
	d.record.add("caller 2: sends stream-2, 24 pieces, %.3f s after the signal", time.Since(stopped).Seconds())
	a := second.exchange("stream-2", streamPrefix+"24")
	d.record.add("caller 2: got for stream-2 %.3f s after the signal: %v", time.Since(stopped).Seconds(), a)
	wg.Wait()
	if !firstAnswer.complete() || pieceCount(firstAnswer.body) != 24 {
		return fmt.Errorf("stream-1 was not served: %v", firstAnswer)
	}
	if d.trouble {
		time.Sleep(time.Until(stopped.Add(stopLimit)))
		if err := d.await(entryName(0)); err != nil {
			return err
		}
	}
	switch {
	case a.status == http.StatusOK && !a.complete():
		return fmt.Errorf("LOST: stream-2 was passed on to a server and ended after %d of 24 pieces: %w", pieceCount(a.body), errBroken)
	case !d.trouble && (!a.complete() || pieceCount(a.body) != 24):
		return fmt.Errorf("stream-2 was not served without a disruption: %v", a)
	}
	return nil
}

// playWithoutEnd has a server send bytes that are no response without end, once. The rule is LOST, at any
// time: an entry passes requests from kept connections on to sound servers and closes the connections without
// an answer.
func playWithoutEnd(d *deployment) error {
	if err := d.startAll(); err != nil {
		return err
	}
	const requests, maxLost = 10, 3
	// The server in trouble has given its sound answers before.
	for i := range servers * soundAnswers * 2 {
		c, err := dialCaller(d.callerAddress(i % entries))
		if err != nil {
			return err
		}
		a := c.exchange(fmt.Sprintf("before-%d", i+1), fmt.Sprintf("%sshort?n=%d", safePrefix, i+1))
		c.close()
		if !a.complete() {
			return fmt.Errorf("request %d was not served: %v", i+1, a)
		}
	}
	callers := make([]*caller, requests)
	for i := range callers {
		c, err := dialCaller(d.callerAddress(0))
		if err != nil {
			return err
		}
		defer c.close()
		if a := c.exchange(fmt.Sprintf("first-%d", i+1), safePrefix+"short"); !a.complete() {
			return fmt.Errorf("the first request of caller %d: %v", i+1, a)
		}
		callers[i] = c
	}
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i, c := range callers {
		id := fmt.Sprintf("hold-%d", i+1)
		d.record.add("caller: sends %s, an unsafe request that takes %v, on a kept connection", id, workTime)
		wg.Go(func() {
			answers[i] = c.exchange(id, fmt.Sprintf("%s%s?n=%d", strings.TrimSuffix(unsafePrefix, "/"), workPath, i+1))
			d.record.add("caller: got for %s: %v", id, answers[i])
		})
	}
	time.Sleep(time.Second)
	stop, stopped := make(chan struct{}), make(chan struct{})
	defer func() {
		close(stop)
		<-stopped
	}()
	go func() {
		defer close(stopped)
		d.enforceMemory(stop)
	}()
	troubled := d.serverOf("hold-1")
	if d.trouble {
		if err := d.signal(troubled, syscall.SIGUSR2); err != nil {
			return err
		}
	}
	wg.Go(func() { d.sendShortRequests(shortRequests) })
	wg.Wait()
	lost, served := 0, 0
	for i, a := range answers {
		switch runner := d.serverOf(fmt.Sprintf("hold-%d", i+1)); {
		case a.complete():
			served++
		case a.status == 0 && runner != "" && runner != troubled:
			lost++
		}
	}
	d.record.add("check: of %d requests from kept connections %d have an answer, %d were passed on to sound servers and have none", requests, served, lost)
	switch {
	case lost > maxLost:
		return fmt.Errorf("LOST: %d requests from kept connections were passed on to sound servers and have no answer: %w", lost, errBroken)
	case !d.trouble && served < requests:
		return fmt.Errorf("%d of %d requests were served without a disruption", served, requests)
	}
	return nil
}

// shortRequests is how many short requests are sent while a server is in trouble.
const shortRequests = 100

// sendShortRequests sends short requests to the first entry, each of a caller of its own.
func (d *deployment) sendShortRequests(n int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range n {
		wg.Go(func() {
			c, err := dialCaller(d.callerAddress(0))
			if err != nil {
				return
			}
			defer c.close()
			id := fmt.Sprintf("short-%d", i+1)
			if a := c.exchange(id, fmt.Sprintf("%sshort?s=%d", safePrefix, i+1)); !a.complete() {
				d.record.add("caller: got for %s: %v", id, a)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
}
