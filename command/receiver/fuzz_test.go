package receiver_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a body that causes a panic, and against an error response that is not JSON with a code.
// The rings have no capacity, so every body is refused.
func FuzzRequestBody(f *testing.F) {
	f.Add(requestBody("a", "1s"))
	f.Add(`{"entry":"a","payload":"AA==","issued_at":"2026-03-01T11:59:59Z"}`)
	f.Add(`{"name":"lookup","removed":true,"expected_version":0}`)
	f.Add(`{} {}`)
	f.Fuzz(func(t *testing.T, body string) {
		fixture := newFixture(0)
		recorder := fixture.post("/v1/requests", callerSecret, body)
		var answer struct {
			Code string `json:"code"`
		}
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
		require.NotEmpty(t, answer.Code)
		require.GreaterOrEqual(t, recorder.Code, 400)
	})
}
