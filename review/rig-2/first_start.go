package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// The bounds of the deployment, as on the sheet of kapiti-entries.
const (
	boundAck     = 4 * time.Second
	boundContact = 3 * time.Second
	boundRecover = 12 * time.Second
)

const (
	// controlCount and frontCount are the machines of the deployment. To be borne at once is the loss of one control
	// machine.
	controlCount = 5
	frontCount   = 2
	// startSpread is within what all machines start, in any order.
	startSpread = 300 * time.Millisecond
	// lostAt is when a control machine is lost in its first start, and restartDelay how long after its end a process
	// starts again.
	lostAt       = 200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// replaceDelay is how long after the loss of a machine the one that replaces it starts.
	replaceDelay = time.Second
	// watched is how long the deployment is watched after all of its machines are up.
	watched = 25 * time.Second
)

// firstStartRestart starts a whole deployment for the first time. The process of one of the three seeds is killed 0.2 s after its
// start, before the last seed has started, and starts again half a second later with the settings in effect then.
func firstStartRestart(r *run) (broken bool, err error) {
	d, err := newDeployment(r, controlCount, frontCount)
	if err != nil {
		return false, err
	}
	processes, err := d.startAllBut(d.control[2])
	if err != nil {
		return false, err
	}
	r.sleepUntil(lostAt)
	killed := d.control[0]
	if r.trouble {
		processes[killed.name].kill()
		r.notef("machine %s: SIGKILL", killed.name)
	}
	r.sleepUntil(startSpread)
	if _, err = d.start(d.control[2], true); err != nil {
		return false, err
	}
	r.sleepUntil(lostAt + restartDelay)
	if r.trouble {
		if _, err = d.start(killed, false); err != nil {
			return false, err
		}
	}
	return d.watchFirstStart(d.control)
}

// firstStartReplace starts a whole deployment for the first time. One of the three seeds is gone for good 0.2 s after its start,
// before the last seed has started, and is replaced by an empty machine at another address a second later.
func firstStartReplace(r *run) (broken bool, err error) {
	d, err := newDeployment(r, controlCount+1, frontCount)
	if err != nil {
		return false, err
	}
	spare := d.control[controlCount]
	d.control = d.control[:controlCount]
	processes, err := d.startAllBut(d.control[0])
	if err != nil {
		return false, err
	}
	r.sleepUntil(lostAt)
	gone, up := d.control[2], d.control
	if r.trouble {
		processes[gone.name].kill()
		r.notef("machine %s is gone for good", gone.name)
	}
	r.sleepUntil(startSpread)
	if _, err = d.start(d.control[0], true); err != nil {
		return false, err
	}
	r.sleepUntil(lostAt + replaceDelay)
	if r.trouble {
		up = []machine{d.control[0], d.control[1], d.control[3], d.control[4], spare}
		if _, err = d.startWithSeeds(spare, up[:seedCount], false); err != nil {
			return false, err
		}
	}
	return d.watchFirstStart(up)
}

// startAllBut starts all machines for the first time except for one.
func (d *deployment) startAllBut(later machine) (map[string]*process, error) {
	out := map[string]*process{}
	for _, m := range append(d.fronts[:len(d.fronts):len(d.fronts)], d.control...) {
		if m == later {
			continue
		}
		p, err := d.start(m, true)
		if err != nil {
			return nil, err
		}
		out[m.name] = p
	}
	return out, nil
}

// watchFirstStart sends the first configuration and the requests of clients to a deployment whose control machines are all up,
// with no disruption from now on. The rule is broken if the configuration has no acknowledgement AckMs after the core is
// stable and none later, doesn't come when it is read back at the end, and no request was served.
func (d *deployment) watchFirstStart(up []machine) (broken bool, err error) {
	r, control, upAt := d.r, d.controlAddresses(up), time.Since(d.r.begun)
	for i := range 2 {
		if _, err = newBackend(r, "i-"+zones[i], zones[i], loopback(2, 11+i), control); err != nil {
			return false, err
		}
	}
	body, err := newConfiguration(3)
	if err != nil {
		return false, err
	}
	var directory []string
	for _, m := range d.fronts {
		directory = append(directory, address(m.ip, d.directoryPort))
	}
	o, c := newOperator(r, control), newClients(r, directory)
	acked := make(chan bool, 1)
	go func() {
		status, _ := o.put("the first one", body, watched)
		acked <- status == http.StatusOK
	}()
	r.sleepUntil(upAt + boundContact + boundAck)
	inTime := len(acked) > 0
	r.notef("AckMs after the core is stable: configuration acknowledged: %v", inTime)
	c.report("until then")
	r.sleepUntil(upAt + boundContact + boundRecover)
	c.report("until RecoveryS after the machines are in touch")
	r.sleepUntil(upAt + watched)
	sent, served := c.report("from then on")
	for _, m := range up {
		for _, line := range last(r.logLines(m.name, "asks to be taken in"), 1) {
			r.notef("log of %s: %s", m.name, line)
		}
	}
	ackedLater, read := <-acked, o.readBack(body, boundContact)
	if read != inTime && !ackedLater {
		r.notef("a configuration without a clear answer was read back")
	}
	return !inTime && !ackedLater && !read && sent > 0 && served == 0, nil
}

// last returns the last n items of a list, or all of them.
func last(list []string, n int) []string { return list[max(len(list)-n, 0):] }

const (
	// maxTries bounds the first starts until a kill strikes while the data file is empty, and createTimeout the time
	// until the file is there.
	maxTries      = 20
	createTimeout = 5 * time.Second
)

// firstStartCreate starts a whole deployment for the first time. The process of one of the three seeds is killed as it creates its
// data file, and starts again half a second after each end.
func firstStartCreate(r *run) (broken bool, err error) {
	d, err := newDeployment(r, controlCount, frontCount)
	if err != nil {
		return false, err
	}
	m := d.control[seedCount-1]
	p, err := d.startKilled(m)
	if err != nil {
		return false, err
	}
	s := d.supervise(m, p)
	if _, err = d.startAllBut(m); err != nil {
		return false, err
	}
	r.sleepUntil(time.Since(r.begun) + restartDelay)
	broken, err = d.watchFirstStart(d.control)
	r.notef("machine %s: its process has ended by itself %d times", m.name, s.close())
	for _, line := range last(r.logLines(m.name, "not started"), 1) {
		r.notef("log of %s: %s", m.name, line)
	}
	return broken, err
}

// startKilled starts a machine for the first time and kills its process as its data file is created. It is tried anew with an
// empty disk if the kill comes too late.
func (d *deployment) startKilled(m machine) (*process, error) {
	folder := filepath.Join(d.r.folder, "disk-"+m.name)
	file := filepath.Join(folder, "control", "group-1.db")
	for range maxTries {
		p, err := d.start(m, true)
		if err != nil || !d.r.trouble {
			return p, err
		}
		for begun := time.Now(); ; {
			if _, err = os.Stat(file); err == nil {
				break
			}
			if p.ended() || time.Since(begun) > createTimeout {
				return nil, fmt.Errorf("machine %s creates no data file", m.name)
			}
		}
		p.kill()
		info, err := os.Stat(file)
		if err != nil {
			return nil, fmt.Errorf("look at the data file: %w", err)
		}
		d.r.notef("machine %s: SIGKILL, its data file has %d bytes", m.name, info.Size())
		if info.Size() == 0 {
			return p, nil
		}
		if err = os.RemoveAll(folder); err != nil {
			return nil, fmt.Errorf("empty the disk: %w", err)
		}
	}
	return nil, fmt.Errorf("machine %s: every kill came too late", m.name)
}

// supervisor restarts the process of a machine restartDelay after each end.
type supervisor struct {
	d    *deployment
	m    machine
	stop chan struct{}
	// ends receives how often the process has ended by itself, once it is not restarted any more.
	ends chan int
}

// supervise restarts a process from now on, with the settings of a restart. Its first end counts only if it comes later.
func (d *deployment) supervise(m machine, p *process) *supervisor {
	s := &supervisor{d: d, m: m, stop: make(chan struct{}), ends: make(chan int, 1)}
	go s.run(p)
	return s
}

func (s *supervisor) run(p *process) {
	ends := 0
	if p.ended() {
		ends--
	}
	defer func() { s.ends <- ends }()
	for {
		select {
		case <-s.stop:
			return
		case <-p.done:
			ends++
		}
		select {
		case <-s.stop:
			return
		case <-time.After(restartDelay):
		}
		next, err := s.d.start(s.m, false)
		if err != nil {
			return
		}
		p = next
	}
}

// close ends the supervision and returns how often the process has ended by itself.
func (s *supervisor) close() int {
	close(s.stop)
	return <-s.ends
}
