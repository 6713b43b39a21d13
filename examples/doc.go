// Package examples embeds the example catalogues, which the demo publishes.
package examples
