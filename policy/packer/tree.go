package packer

import (
	"math/bits"

	"github.com/almondcross/almondcross"
)

// dimensions is the number of resource types.
const dimensions = 4

// vector is an almondcross.Resources as an array that can be iterated.
type vector [dimensions]int64

func vectorOf(resources almondcross.Resources) vector {
	return vector{resources.MilliCPU(), resources.MemoryMB(), resources.Accelerators(), resources.Slots()}
}

func (vector *vector) fits(free *vector) bool {
	return vector[0] <= free[0] && vector[1] <= free[1] && vector[2] <= free[2] && vector[3] <= free[3]
}

func (vector *vector) setMax(other *vector) {
	for index, value := range other {
		vector[index] = max(vector[index], value)
	}
}

// node is the entry of a target in one tree.
type node struct {
	name        string
	free        vector
	score       int64
	subtreeMax  vector // the maximum of each free resource in the subtree
	priority    uint64
	left, right *node
}

func (node *node) less(other *node) bool {
	if node.score != other.score {
		return node.score < other.score
	}
	return node.name < other.name
}

func (node *node) updateSubtreeMax() {
	node.subtreeMax = node.free
	if node.left != nil {
		node.subtreeMax.setMax(&node.left.subtreeMax)
	}
	if node.right != nil {
		node.subtreeMax.setMax(&node.right.subtreeMax)
	}
}

// tree is a treap ordered by score and name.
type tree struct {
	root        *node
	size        int
	comparisons *uint64
}

func (tree *tree) insert(node *node) {
	tree.size++
	tree.root = tree.insertAt(tree.root, node)
}

func (tree *tree) insertAt(root, node *node) *node {
	if root == nil {
		node.left, node.right = nil, nil
		node.updateSubtreeMax()
		return node
	}
	*tree.comparisons++
	if node.priority > root.priority {
		node.left, node.right = tree.split(root, node)
		node.updateSubtreeMax()
		return node
	}
	if node.less(root) {
		root.left = tree.insertAt(root.left, node)
	} else {
		root.right = tree.insertAt(root.right, node)
	}
	root.subtreeMax.setMax(&node.free)
	return root
}

// split splits a subtree into the nodes before and after the given node.
func (tree *tree) split(root, node *node) (left, right *node) {
	if root == nil {
		return nil, nil
	}
	*tree.comparisons++
	if root.less(node) {
		root.right, right = tree.split(root.right, node)
		root.updateSubtreeMax()
		return root, right
	}
	left, root.left = tree.split(root.left, node)
	root.updateSubtreeMax()
	return left, root
}

func (tree *tree) remove(node *node) {
	tree.size--
	tree.root = tree.removeAt(tree.root, node)
}

func (tree *tree) removeAt(root, node *node) *node {
	*tree.comparisons++
	switch {
	case root == node:
		return tree.merge(root.left, root.right)
	case node.less(root):
		root.left = tree.removeAt(root.left, node)
	default:
		root.right = tree.removeAt(root.right, node)
	}
	root.updateSubtreeMax()
	return root
}

// merge merges two subtrees; all nodes of left must be ordered before those of right.
func (tree *tree) merge(left, right *node) *node {
	if left == nil {
		return right
	}
	if right == nil {
		return left
	}
	*tree.comparisons++
	if left.priority > right.priority {
		left.right = tree.merge(left.right, right)
		left.updateSubtreeMax()
		return left
	}
	right.left = tree.merge(left, right.left)
	right.updateSubtreeMax()
	return right
}

// visitLimit returns the maximum number of nodes that a search visits in a tree of the given size. The
// depth of a treap is below 3 log2 n with high probability, and a search follows a few paths.
func visitLimit(size int) int { return 16 + 8*bits.Len(uint(size)) }

// bestFit returns the target with the lowest score on which the demand fits, nil if none was found.
func (tree *tree) bestFit(demand *vector, score int64) *node {
	remaining := visitLimit(tree.size)
	found := tree.searchBestFit(tree.root, demand, score, &remaining)
	if found == nil && remaining <= 0 {
		return tree.worstFit(demand)
	}
	return found
}

func (tree *tree) searchBestFit(root *node, demand *vector, score int64, remaining *int) *node {
	if root == nil || *remaining <= 0 {
		return nil
	}
	*remaining--
	*tree.comparisons++
	if !demand.fits(&root.subtreeMax) {
		return nil
	}
	if root.score >= score {
		if found := tree.searchBestFit(root.left, demand, score, remaining); found != nil {
			return found
		}
		if demand.fits(&root.free) {
			return root
		}
	}
	return tree.searchBestFit(root.right, demand, score, remaining)
}

// worstFit returns the target with the highest score on which the demand fits, nil if none was found.
func (tree *tree) worstFit(demand *vector) *node {
	remaining := visitLimit(tree.size)
	return tree.searchWorstFit(tree.root, demand, &remaining)
}

func (tree *tree) searchWorstFit(root *node, demand *vector, remaining *int) *node {
	if root == nil || *remaining <= 0 {
		return nil
	}
	*remaining--
	*tree.comparisons++
	if !demand.fits(&root.subtreeMax) {
		return nil
	}
	if found := tree.searchWorstFit(root.right, demand, remaining); found != nil {
		return found
	}
	if demand.fits(&root.free) {
		return root
	}
	return tree.searchWorstFit(root.left, demand, remaining)
}
