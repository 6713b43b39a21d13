package receiver_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a body that stops the host, and against an answer that is not JSON with a code.
// The rings are full, so every body ends in a refusal.
func FuzzRequestBody(f *testing.F) {
	f.Add(requestBody("a", "1s"))
	f.Add(`{"entry":"a","payload":"AA==","issued_at":"2026-03-01T11:59:59Z"}`)
	f.Add(`{"name":"lookup","removed":true,"expected_version":0}`)
	f.Add(`{} {}`)
	f.Fuzz(func(t *testing.T, body string) {
		handler := newFixture(0)
		recorder := handler.post("/v1/requests", secret, body)
		var answer struct {
			Code string `json:"code"`
		}
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
		require.NotEmpty(t, answer.Code)
		require.GreaterOrEqual(t, recorder.Code, 400)
	})
}
