// Package watcher watches the platform's live list.
//
// The Watcher is a duty: it keeps one long poll open and puts each new version
// on the placer's ring. While the list cannot be read, the placer keeps the last
// version, so that a data centre that is cut off keeps using its targets.
package watcher
