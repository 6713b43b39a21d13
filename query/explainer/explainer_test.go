package explainer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/query/explainer"
)

const (
	firstHostLog = `  0.2 front-a {"host":"a","level":"info","msg":"submit_answered","job":"5c0e7a21d94b36f8","status":200,"time":"2026-01-01T00:00:00.100Z"}
no JSON 5c0e7a21d94b36f8
{"host":"a","msg":"submit_answered","job":"5c0e7a21d94b36f9","time":"2026-01-01T00:00:00.100Z"}
`
	secondHostLog = `{"host":"b","msg":"run_ended","task":"5c0e7a21d94b36f8.0.0.1","end":"done","time":"2026-01-01T00:00:05.000Z"}
{"host":"b","msg":"advised","stage":"5c0e7a21d94b36f8.0.0","time":"2026-01-01T00:00:00.200Z"}
`
)

// Guards against lines of another job, lines out of order, and a gap that is not reported.
func TestReadAndWriteOrderLinesOfOneJob(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(firstHostLog), "5c0e7a21d94b36f8")
	require.NoError(t, err)
	otherLines, err := explainer.Read(strings.NewReader(secondHostLog), "5c0e7a21d94b36f8")
	require.NoError(t, err)
	var output strings.Builder
	require.NoError(t, explainer.Write(&output, append(otherLines, lines...)))
	rows := strings.Split(strings.TrimSpace(output.String()), "\n")
	require.Len(t, rows, 4)
	require.Contains(t, rows[0], "submit_answered")
	require.Contains(t, rows[0], "status=200")
	require.Contains(t, rows[1], "advised")
	require.Contains(t, rows[2], "no line for 4.8s")
	require.Contains(t, rows[3], "end=done task=5c0e7a21d94b36f8.0.0.1")
}
