// Package sharer orders owners and entries by weighted dominant shares.
//
// An owner is promised the sum of the shares of its entries, divided by the
// sum over all owners. The promise of owners that neither run nor wait for
// work is lent to the others in proportion to their weights. An owner's
// received share is the largest fraction that its tasks hold of any resource;
// the owner with the lowest received share for its weight goes first. Because
// the order follows from what is held now, a lent share returns to its owner
// with the first ends of tasks after the owner asks for it.
package sharer
