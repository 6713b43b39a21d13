// Package watcher follows the platform's live list.
//
// The Watcher is a duty: it keeps one long poll open and puts each new version
// on the placer's ring. While the list cannot be reached the placer keeps the
// last one, so that a data centre that is cut off goes on with its targets.
package watcher
