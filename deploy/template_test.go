package deploy_test

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/configurator"
)

// Guards against a deploy template whose rendered settings the program rejects, with and without its optional sections.
func TestDeployTemplateRendersValidSettings(t *testing.T) {
	template, err := os.ReadFile("scheduler.jsonc")
	require.NoError(t, err)
	values := map[string]string{
		"node": "front-a-1", "zone": "a", "region": "r", "listen.front": "10.1.0.13:8161", "listen.ready_addr": "10.1.0.13:8167", "ip": "10.1.0.13",
		"port_range.0": "7720", "platform.addr": "10.200.1.7:8169", "platform.parts": "8", "platform.record_bytes": "262144", "platform.call_bytes": "2097152", "platform.keep_s": "20",
		"advice": "10.200.1.9:8169", "cloud_api.addr": "10.200.0.79:8169", "bounds.status_s": "120", "bounds.max_hold_ms": "10000", "bounds.grace_s": "6",
		"limits.cpu_share": "0.4", "limits.link_mbps": "1000.0", "limits.memory_mb": "284", "limits.max_fds": "4100",
	}
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	for _, withOptional := range []bool{true, false} {
		rendered := section.ReplaceAllStringFunc(string(template), func(text string) string {
			if !withOptional {
				return ""
			}
			parts := section.FindStringSubmatch(text)
			return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
		})
		rendered = placeholder.ReplaceAllStringFunc(rendered, func(text string) string {
			parts := placeholder.FindStringSubmatch(text)
			value, known := values[parts[1]]
			require.True(t, known, parts[1])
			if parts[2] == "" {
				return value
			}
			quoted, err := json.Marshal(value)
			require.NoError(t, err)
			return string(quoted)
		})
		settings, err := configurator.ParseScheduler("scheduler.jsonc", []byte(rendered))
		require.NoError(t, err)
		require.Equal(t, "10.1.0.13:7720", settings.LinkListen())
		require.Equal(t, 20*time.Second, settings.StoreRetention())
		require.Equal(t, 10*time.Second, settings.MaxLease())
		require.InDelta(t, 0.4, settings.Processors(), 0)
		require.Equal(t, withOptional, settings.AdviceAddress() != "")
		require.Equal(t, withOptional, settings.MaxDescriptors() == 4100)
	}
}
