// Package sharer orders owners and entries by weighted dominant resource fairness.
//
// The weight of an owner is the sum of the weights of its entries; its promised
// share is its weight divided by the sum of all weights. The promised shares of
// owners without running or waiting tasks are lent to the other owners in
// proportion to their weights. An owner's received share is its dominant share:
// the largest fraction that its running tasks use of any resource. The owner with
// the lowest received share per weight comes first. The order depends on the
// current use only, so a lent share returns to its owner as soon as tasks of
// other owners end after the owner has waiting tasks again.
package sharer
