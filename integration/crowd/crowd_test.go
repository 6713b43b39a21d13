package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/ring"
)

const (
	// bodyBytes is the announced size of a body, and sentBytes how much of it is sent.
	bodyBytes, sentBytes = 262_011, 262_000
	pieces               = 16
	largeChunk           = 64 << 10
	smallChunk           = 8
	// headerLines is the number of short header lines that fit into 16 KiB.
	headerLines = 2200
	// unreadBytes is the size of the requests that a client sends without reading an answer.
	unreadBytes = 60 << 10
	// clientBuffer is the receive buffer of such a client in bytes, so that answers fill it soon.
	clientBuffer = 4 << 10
	// holdDuration is longer than the time that a body may take by default.
	holdDuration = 4 * time.Second
	// sendTimeout bounds what a client sends, and crowdTimeout how long the crowd waits for all of its clients.
	sendTimeout, crowdTimeout = 10 * time.Second, 30 * time.Second
)

// client is one client of a crowd.
type client struct {
	connection net.Conn
	path       string
	header     string // header holds the lines of a submission that all kinds have.
	unread     bool   // unread is set if the client reads nothing.
}

// write sends a text. An error means that the server has closed the connection, or doesn't read.
func (client *client) write(text string) bool {
	_, err := io.WriteString(client.connection, text)
	return err == nil
}

// sendWhole sends the beginning of a body at once.
func (client *client) sendWhole() {
	client.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", client.header, bodyBytes, strings.Repeat(" ", sentBytes)))
}

// sendPieces sends it in pieces, with pauses.
func (client *client) sendPieces() {
	client.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", client.header, bodyBytes))
	for range pieces {
		if !client.write(strings.Repeat(" ", sentBytes/pieces)) {
			return
		}
		<-time.After(sampleInterval)
	}
}

// sendChunks sends it in chunks of a size, and the rest in one that does not end.
func (client *client) sendChunks(size int) {
	client.write(client.header + "Transfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size))
	// Several chunks go into one write, so that the client does not limit the load.
	batch := max(1, largeChunk/size)
	rest := sentBytes
	for ; rest >= batch*size; rest -= batch * size {
		if !client.write(strings.Repeat(chunk, batch)) {
			return
		}
	}
	client.write(fmt.Sprintf("%x\r\n%s", rest+bodyBytes-sentBytes, strings.Repeat(" ", rest)))
}

// sendUnread sends requests and reads no answer.
func (client *client) sendUnread() {
	client.unread = true
	request := fmt.Sprintf("GET /q/ HTTP/1.1\r\nHost: %s\r\n\r\n", queueHost)
	client.write(strings.Repeat(request, unreadBytes/len(request)))
}

// stayIdle makes one request, or none for every second client, and keeps the connection.
func (client *client) stayIdle(index int) {
	if index%2 == 0 {
		client.write(fmt.Sprintf("GET /q/ HTTP/1.1\r\nHost: %s\r\n\r\n", queueHost))
		_, _ = client.connection.Read(make([]byte, clientBuffer))
	}
}

// crowd is a number of clients that keep their connections until it is dismissed.
type crowd struct {
	dismiss context.CancelFunc
	group   sync.WaitGroup
	sent    sync.WaitGroup // sent counts the clients that still send.
}

// gather lets clients connect to some addresses in turn and act, and returns once all have acted.
func gather(t *testing.T, addresses []string, act func(client *client, index int)) *crowd {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	crowd := &crowd{dismiss: cancel}
	t.Cleanup(cancel)
	crowd.sent.Add(*crowdSize)
	for index := range *crowdSize {
		crowd.group.Go(func() {
			until := time.Now().Add(*actDuration)
			sent := sync.OnceFunc(crowd.sent.Done)
			defer sent()
			for crowd.actOnce(ctx, addresses[index%len(addresses)], index, act, sent); time.Now().Before(until) && ctx.Err() == nil; {
				crowd.actOnce(ctx, addresses[index%len(addresses)], index, act, sent)
			}
		})
	}
	done := make(chan struct{})
	go func() { crowd.sent.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(crowdTimeout):
		t.Log("some clients still send")
	}
	return crowd
}

// actOnce lets a client connect and act, and keep the connection until the crowd is dismissed or, if the client is to act
// again, until the server closes it or for holdDuration.
func (crowd *crowd) actOnce(ctx context.Context, address string, index int, act func(client *client, index int), sent func()) {
	connection, err := (&net.Dialer{Timeout: sendTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_ = connection.(*net.TCPConn).SetReadBuffer(clientBuffer) //nolint:forcetypeassert // It was dialled as TCP.
	_ = connection.SetDeadline(time.Now().Add(sendTimeout))
	path := fmt.Sprintf("/q/%016x", 1<<32+index)
	client := &client{
		connection: connection, path: path, header: fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", path, queueHost),
	}
	act(client, index)
	sent()
	switch {
	case *actDuration == 0:
		<-ctx.Done()
	case client.unread:
		ring.Pause(ctx, holdDuration)
	default:
		_ = connection.SetReadDeadline(time.Now().Add(holdDuration))
		_, _ = io.Copy(io.Discard, connection)
	}
}

// play lets a crowd abuse a host and checks that the host stays within its bounds, and answers before and after the crowd
// has gone.
func play(t *testing.T, addresses func(host *host) []string, act func(client *client, index int)) {
	t.Helper()
	host := startHost(t)
	watchCtx, stopWatch := context.WithCancel(t.Context())
	defer stopWatch()
	go host.watch(watchCtx)
	crowd := gather(t, addresses(host), act)
	t.Logf("with the crowd: peak memory %.1f MB of %d, most descriptors %d of %d", host.peakMB(), *memoryMB, host.mostDescriptors.Load(), *descriptorLimit)
	host.requireSoon("a job beside the crowd", func() bool { return host.submit(0) == http.StatusOK })
	host.requireSoon("the readiness beside the crowd", func() bool { return host.call(http.MethodGet, host.readyAddress, "/ready", nil) == http.StatusOK })
	host.serveBesideCrowd()
	crowd.dismiss()
	crowd.group.Wait()
	host.requireAnswers("after the crowd")
	t.Logf("after the crowd: peak memory %.1f MB of %d, most descriptors %d of %d", host.peakMB(), *memoryMB, host.mostDescriptors.Load(), *descriptorLimit)
	require.LessOrEqual(t, host.peakMB(), float64(*memoryMB), "the memory of the host, in MB")
	require.LessOrEqual(t, host.mostDescriptors.Load(), int64(*descriptorLimit-descriptorReserve), "the open descriptors of the host")
}

// serveBesideCrowd sends ordinary jobs for as long as the clients act again, and logs how many were answered.
func (host *host) serveBesideCrowd() {
	answered, refused, unanswered := 0, 0, 0
	for until := time.Now().Add(*actDuration); time.Now().Before(until) && ring.Pause(host.t.Context(), retryInterval); {
		switch host.submit(0) {
		case http.StatusOK:
			answered++
		case 0:
			unanswered++
		default:
			refused++
		}
	}
	if *actDuration > 0 {
		host.t.Logf("beside the crowd: %d jobs accepted, %d refused, %d connections ended without an answer", answered, refused, unanswered)
	}
}

func callersOnly(host *host) []string { return []string{host.callersAddress} }

// Guards against a process that runs out of memory or descriptors, or answers nobody any more, under large bodies that stop
// short of their end.
func TestUnfinishedBodies(t *testing.T) {
	for _, row := range []struct {
		name string
		act  func(client *client, index int)
	}{
		{"whole", func(client *client, _ int) { client.sendWhole() }},
		{"in pieces", func(client *client, _ int) { client.sendPieces() }},
		{"in large chunks", func(client *client, _ int) { client.sendChunks(largeChunk) }},
		{"in small chunks", func(client *client, _ int) { client.sendChunks(smallChunk) }},
	} {
		t.Run(row.name, func(t *testing.T) { play(t, callersOnly, row.act) })
	}
}

// Guards against clients that hold descriptors for as long as they like, since they do not read the answers to their requests.
func TestUnreadAnswers(t *testing.T) {
	play(t, callersOnly, func(client *client, _ int) { client.sendUnread() })
}

// Guards against clients that hold all descriptors with connections on which nothing happens.
func TestIdleConnections(t *testing.T) {
	play(t, callersOnly, func(client *client, index int) { client.stayIdle(index) })
}

// Guards against a crowd at the servers for readiness, metrics and links that takes the descriptors of all others.
func TestOtherServers(t *testing.T) {
	play(t, func(host *host) []string { return []string{host.readyAddress, host.metricsAddress, host.linksAddress} },
		func(client *client, _ int) { client.sendWhole() })
}

// Guards against a process that runs out of memory under links with large messages that stop short of their end.
func TestUnfinishedFrames(t *testing.T) {
	frame := unfinishedFrame()
	play(t, func(host *host) []string { return []string{host.linksAddress} }, func(client *client, _ int) {
		if client.upgrade(linkPath) {
			client.write(frame)
		}
	})
}

// Guards against a process that runs out of memory under headers of legal size with very many lines, before a body that does
// not end and before their own end.
func TestManyHeaderLines(t *testing.T) {
	lines := manyLines()
	play(t, callersOnly, func(client *client, index int) {
		client.header += lines
		if index%2 == 0 {
			client.sendWhole()
		} else {
			client.write(client.header)
		}
	})
}
