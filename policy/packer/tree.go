package packer

import (
	"math/bits"

	"github.com/almondcross/almondcross"
)

// dimensions is the number of resources.
const dimensions = 4

// amount is an almondcross.Resources whose parts can be walked.
type amount [dimensions]int64

func amountOf(resources almondcross.Resources) amount {
	return amount{resources.MilliCPU(), resources.MemoryMB(), resources.Accelerators(), resources.Slots()}
}

func (amount *amount) fits(room *amount) bool {
	return amount[0] <= room[0] && amount[1] <= room[1] && amount[2] <= room[2] && amount[3] <= room[3]
}

func (amount *amount) raise(other *amount) {
	for index, value := range other {
		amount[index] = max(amount[index], value)
	}
}

// leaf is a target in one tree.
type leaf struct {
	name        string
	room        amount
	score       int64
	most        amount // the largest room of each resource in the subtree
	priority    uint64
	left, right *leaf
}

func (leaf *leaf) before(other *leaf) bool {
	if leaf.score != other.score {
		return leaf.score < other.score
	}
	return leaf.name < other.name
}

func (leaf *leaf) refresh() {
	leaf.most = leaf.room
	if leaf.left != nil {
		leaf.most.raise(&leaf.left.most)
	}
	if leaf.right != nil {
		leaf.most.raise(&leaf.right.most)
	}
}

// tree is a treap in the order of scores.
type tree struct {
	root        *leaf
	size        int
	comparisons *uint64
}

func (tree *tree) insert(item *leaf) {
	tree.size++
	tree.root = tree.insertAt(tree.root, item)
}

func (tree *tree) insertAt(root, item *leaf) *leaf {
	if root == nil {
		item.left, item.right = nil, nil
		item.refresh()
		return item
	}
	*tree.comparisons++
	if item.priority > root.priority {
		item.left, item.right = tree.split(root, item)
		item.refresh()
		return item
	}
	if item.before(root) {
		root.left = tree.insertAt(root.left, item)
	} else {
		root.right = tree.insertAt(root.right, item)
	}
	root.most.raise(&item.room)
	return root
}

// split returns the parts of a subtree before and after an item.
func (tree *tree) split(root, item *leaf) (left, right *leaf) {
	if root == nil {
		return nil, nil
	}
	*tree.comparisons++
	if root.before(item) {
		root.right, right = tree.split(root.right, item)
		root.refresh()
		return root, right
	}
	left, root.left = tree.split(root.left, item)
	root.refresh()
	return left, root
}

func (tree *tree) remove(item *leaf) {
	tree.size--
	tree.root = tree.removeAt(tree.root, item)
}

func (tree *tree) removeAt(root, item *leaf) *leaf {
	*tree.comparisons++
	switch {
	case root == item:
		return tree.join(root.left, root.right)
	case item.before(root):
		root.left = tree.removeAt(root.left, item)
	default:
		root.right = tree.removeAt(root.right, item)
	}
	root.refresh()
	return root
}

// join returns the union of two subtrees of which the first is before the second.
func (tree *tree) join(left, right *leaf) *leaf {
	if left == nil {
		return right
	}
	if right == nil {
		return left
	}
	*tree.comparisons++
	if left.priority > right.priority {
		left.right = tree.join(left.right, right)
		left.refresh()
		return left
	}
	right.left = tree.join(left, right.left)
	right.refresh()
	return right
}

// visits returns the limit of a search in a tree of a size. The depth of a treap is below
// 3 log2 n with high probability, and a search goes down a few paths.
func visits(size int) int { return 16 + 8*bits.Len(uint(size)) }

// tightest returns the target with the least room in which a need fits, nil for none found.
func (tree *tree) tightest(need *amount, score int64) *leaf {
	left := visits(tree.size)
	found := tree.ascend(tree.root, need, score, &left)
	if found == nil && left <= 0 {
		return tree.emptiest(need)
	}
	return found
}

func (tree *tree) ascend(root *leaf, need *amount, score int64, left *int) *leaf {
	if root == nil || *left <= 0 {
		return nil
	}
	*left--
	*tree.comparisons++
	if !need.fits(&root.most) {
		return nil
	}
	if root.score >= score {
		if found := tree.ascend(root.left, need, score, left); found != nil {
			return found
		}
		if need.fits(&root.room) {
			return root
		}
	}
	return tree.ascend(root.right, need, score, left)
}

// emptiest returns the target with the most room in which a need fits, nil for none found.
func (tree *tree) emptiest(need *amount) *leaf {
	left := visits(tree.size)
	return tree.descend(tree.root, need, &left)
}

func (tree *tree) descend(root *leaf, need *amount, left *int) *leaf {
	if root == nil || *left <= 0 {
		return nil
	}
	*left--
	*tree.comparisons++
	if !need.fits(&root.most) {
		return nil
	}
	if found := tree.descend(root.right, need, left); found != nil {
		return found
	}
	if need.fits(&root.room) {
		return root
	}
	return tree.descend(root.left, need, left)
}
