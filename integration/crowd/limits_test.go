package crowd_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// manyDescriptors and manyConnections let all clients of a crowd connect, so that no limit on connections bounds what they take.
	manyDescriptors = 2048
	manyConnections = `,"caller_connections":700,"link_connections":700`
	// linkPath and peerPath are where a scheduling host and an entry host accept links.
	linkPath, peerPath = "/v1/advice", "/v1/link"
	// unreadMetrics is the number of pages of metrics that a client asks for and does not read. They are larger than the buffers of a socket.
	unreadMetrics = 1000
)

// upgrade opens a link at a path, and reports whether the host has accepted it.
func (client *client) upgrade(path string) bool {
	client.write(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n", path, queueHost))
	answer, err := http.ReadResponse(bufio.NewReader(client.connection), nil)
	return err == nil && answer.StatusCode == http.StatusSwitchingProtocols
}

// unfinishedFrame returns a masked binary frame of a mebibyte without its last bytes.
func unfinishedFrame() string {
	const frameBytes, missingBytes = 1 << 20, 11
	// The header has a length of eight bytes; the mask is zero.
	frame := binary.BigEndian.AppendUint64([]byte{0x82, 0xff}, frameBytes)
	return string(append(frame, make([]byte, 4+frameBytes-missingBytes)...))
}

// manyLines returns the lines of headers of nearly the largest size.
func manyLines() string {
	var lines strings.Builder
	for line := range headerLines {
		fmt.Fprintf(&lines, "%x:\r\n", line)
	}
	return lines.String()
}

// Guards against a limit that does not hold by itself. In the other tests several limits hold a crowd back, so each of them could be
// missing; here the settings leave only one.
func TestEachLimitAlone(t *testing.T) {
	frame, lines := unfinishedFrame(), manyLines()
	links := func(host *host) []string { return []string{host.linksAddress} }
	for _, row := range []struct {
		name        string
		descriptors int
		settings    string
		addresses   func(host *host) []string
		act         func(client *client, index int)
	}{
		{"the budget for bodies", manyDescriptors, manyConnections, callersOnly, func(client *client, _ int) { client.sendWhole() }},
		{"the budget for bodies in chunks", manyDescriptors, manyConnections, callersOnly, func(client *client, _ int) { client.sendChunks(largeChunk) }},
		{"the budget for headers", manyDescriptors, manyConnections, callersOnly, func(client *client, _ int) { client.write(client.header + lines) }},
		{"the budget for messages of hosts", manyDescriptors, manyConnections, links, func(client *client, _ int) {
			if client.upgrade(linkPath) {
				client.write(frame)
			}
		}},
		{"the time limit of bodies", *descriptorLimit, "", callersOnly, func(client *client, _ int) {
			client.write(client.header + "Content-Length: 1000\r\n\r\n{")
		}},
		{"the time limit of headers", *descriptorLimit, "", callersOnly, func(client *client, _ int) { client.write(client.header) }},
		{"the time limit of answers", *descriptorLimit, "", func(host *host) []string { return []string{host.metricsAddress} }, func(client *client, _ int) {
			client.unread = true
			client.write(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n", unreadMetrics))
		}},
		{"idle connections at the limit", *descriptorLimit, "", callersOnly, func(client *client, _ int) { client.stayIdle(0) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			host := startCell(t).newHost(hostConfig{name: "h-0", memoryMB: *memoryMB, descriptors: row.descriptors, settings: row.settings})
			host.start()
			host.requireAnswers("before the crowd")
			crowd := gather(t, row.addresses(host), row.act)
			host.requireSoon("a job beside the crowd", func() bool { return host.submit(0) == http.StatusOK })
			host.requireSoon("the metrics beside the crowd", func() bool { return host.call(http.MethodGet, host.metricsAddress, "/metrics", nil) == http.StatusOK })
			crowd.dismiss()
			crowd.group.Wait()
			host.requireAnswers("after the crowd")
			t.Logf("peak memory %.1f MB of %d", host.peakMB(), host.memoryMB)
			require.LessOrEqual(t, host.peakMB(), float64(host.memoryMB), "the memory of the host, in MB")
		})
	}
}
