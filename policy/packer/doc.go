// Package packer chooses targets by their room.
package packer
