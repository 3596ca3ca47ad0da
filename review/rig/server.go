package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// runsPrefix begins the line by which a server says that it runs a request.
	runsPrefix = "runs "
	// pieceMark begins each piece of an answer.
	pieceMark     = "piece "
	heartbeat     = 1200 * time.Millisecond
	pieceInterval = 250 * time.Millisecond
	// workPath ends the path of a request whose answer takes workTime.
	workPath = "/work"
	workTime = 6 * time.Second
	// soundAnswers is how many sound answers a server gives, at least, for one that is no response: the
	// platform's dose is one in twenty.
	soundAnswers = 20
	// linkBytesPerMs is the bandwidth of a host's link, 1,000 Mbit/s.
	linkBytesPerMs = 125000
	// fullPath ends the path of a request that finds its server full.
	fullPath = "/full"
	// noticeMs is the notice that a server gets before it is taken away.
	noticeMs = 2000
)

// serverSettings are the settings of a stand-in of a backend server.
type serverSettings struct {
	ID       string
	Address  string
	Controls []string
}

// backendServer is a stand-in of a backend server.
type backendServer struct {
	serverSettings
	sequence int
	// noticedAt is when the notice came that the server is taken away, in Unix milliseconds; 0:
	// none.
	noticedAt atomic.Int64
	// answers counts the sound answers since the last one that was no response, and garbles is set
	// while the next answer is none.
	answers atomic.Int64
	garbles atomic.Bool
}

// runServer runs a backend server until its process ends. SIGUSR1 is the notice that it is taken
// away, and SIGUSR2 makes one of its answers no response.
func runServer(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	s := &backendServer{}
	if err := json.Unmarshal(text, &s.serverSettings); err != nil {
		return fmt.Errorf("decode settings: %w", err)
	}
	notices := make(chan os.Signal, 1)
	signal.Notify(notices, syscall.SIGUSR1)
	go s.announce(notices)
	troubles := make(chan os.Signal, 1)
	signal.Notify(troubles, syscall.SIGUSR2)
	go func() {
		for range troubles {
			s.garbles.Store(true)
		}
	}()
	h := &http.Server{Addr: s.Address, Handler: s, ReadHeaderTimeout: 5 * time.Second}
	return h.ListenAndServe()
}

func (s *backendServer) announce(notices <-chan os.Signal) {
	for {
		s.sendHeartbeat()
		select {
		case <-notices:
			s.noticedAt.Store(time.Now().UnixMilli())
			fmt.Printf("notice: gone in %d ms\n", noticeMs)
		case <-time.After(heartbeat):
		}
	}
}

// sendHeartbeat sends one heartbeat to one control host after the other until it is
// acknowledged.
func (s *backendServer) sendHeartbeat() {
	s.sequence++
	beat := map[string]any{
		"Backend": serviceName, "Address": s.Address, "Zone": "hall-a", "Version": "v1", "Slots": 96, "State": "ready",
		"ColdRemainingMs": 0, "Seq": s.sequence,
	}
	if at := s.noticedAt.Load(); at != 0 {
		beat["State"], beat["RemainingMs"] = "draining", max(noticeMs-(time.Now().UnixMilli()-at), 0)
	}
	body, _ := json.Marshal(beat)
	for _, control := range s.Controls {
		status, _ := call(http.MethodPut, "http://"+control+"/v1/instances/"+s.ID, body)
		if status == http.StatusOK {
			if beat["State"] == "draining" {
				fmt.Println("draining is acknowledged")
			}
			return
		}
	}
}

// ServeHTTP runs requests. The last part of the path says how long the answer is: "short", or the
// number of pieces, or that the server is full.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	if r.Header.Get("Expect-Instance") != s.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, fullPath) {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "5")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.answers.Load() >= soundAnswers && s.garbles.CompareAndSwap(true, false) {
		s.answerWithoutEnd(w, id)
		return
	}
	s.answers.Add(1)
	if strings.HasSuffix(r.URL.Path, workPath) {
		fmt.Println(runsPrefix + id)
		select {
		case <-r.Context().Done():
			fmt.Printf("the connection of %s has closed\n", id)
			return
		case <-time.After(workTime):
		}
	}
	pieces, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if err != nil {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Signature", "short")
		_, _ = io.WriteString(w, "short")
		return
	}
	fmt.Println(runsPrefix + id)
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		s.stream(w, r, id, pieces)
		return
	}
	s.answerWithoutLength(w, id, pieces)
}

// stream answers with a stream of events.
func (s *backendServer) stream(w http.ResponseWriter, r *http.Request, id string, pieces int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "stream")
	for i := 1; i <= pieces; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s%d of %d\n\n", i, pieceMark, i, pieces)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			fmt.Printf("the connection of %s has closed after piece %d\n", id, i)
			return
		case <-time.After(pieceInterval):
		}
	}
	fmt.Printf("has sent all pieces of %s\n", id)
}

// answerWithoutEnd sends bytes that are no response, a header field without an end, until the caller
// closes.
func (s *backendServer) answerWithoutEnd(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fmt.Printf("sends bytes without end for %s, after %d sound answers\n", id, s.answers.Swap(0))
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: ")
	endless := bytes.Repeat([]byte("a"), linkBytesPerMs)
	sent, start := 0, time.Now()
	for err == nil {
		var n int
		n, err = conn.Write(endless)
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(sent/linkBytesPerMs) * time.Millisecond)))
	}
	fmt.Printf("the caller of %s has closed after %d MB\n", id, sent>>20)
}

// answerWithoutLength answers with a body that has no length and ends with its connection.
func (s *backendServer) answerWithoutLength(w http.ResponseWriter, id string, pieces int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: whole-%d\r\nConnection: close\r\n\r\n", id, pieces)
	for i := 1; i <= pieces; i++ {
		if _, err = fmt.Fprintf(conn, "%s%d of %d\n", pieceMark, i, pieces); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
	fmt.Printf("has sent all pieces of %s\n", id)
}
