package query

import "slices"

// Hit is one matching document.
type Hit struct {
	Doc   string  `json:"doc"`
	Score float64 `json:"score"`
	Title string  `json:"title,omitempty"`
}

// Top collects the best hits of many replies in a heap with the worst of them at index 0.
// The result depends only on the hits, not on the order in which they arrive.
type Top struct {
	limit int
	heap  []Hit
}

// Reset empties the heap, keeping its memory, and sets the number of hits to collect.
func (t *Top) Reset(limit int) {
	clear(t.heap)
	t.limit = limit
	t.heap = t.heap[:0]
}

// Add merges the hits of one reply.
func (t *Top) Add(hits []Hit) {
	for i := range hits {
		t.add(&hits[i])
	}
}

func (t *Top) add(h *Hit) {
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, *h)
		t.siftUp(len(t.heap) - 1)
		return
	}
	if t.limit == 0 || !ranksHigher(h, &t.heap[0]) {
		return
	}
	t.heap[0] = *h
	t.siftDown()
}

func (t *Top) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !ranksHigher(&t.heap[parent], &t.heap[i]) {
			return
		}
		t.heap[parent], t.heap[i] = t.heap[i], t.heap[parent]
		i = parent
	}
}

func (t *Top) siftDown() {
	i := 0
	for {
		worst := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if ranksHigher(&t.heap[worst], &t.heap[child]) {
				worst = child
			}
		}
		if worst == i {
			return
		}
		t.heap[i], t.heap[worst] = t.heap[worst], t.heap[i]
		i = worst
	}
}

// Sorted returns a copy of the collected hits, best first.
func (t *Top) Sorted() []Hit {
	hits := slices.Clone(t.heap)
	slices.SortFunc(hits, func(a, b Hit) int {
		if ranksHigher(&a, &b) {
			return -1
		}
		return 1
	})
	return hits
}

// ranksHigher orders by descending score, then by ascending document ID, so that equal
// replies give equal answers.
func ranksHigher(a, b *Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return a.Doc < b.Doc
}
