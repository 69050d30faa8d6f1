package query

import "slices"

// Hit is one document found.
type Hit struct {
	Doc   string  `json:"doc"`
	Score float64 `json:"score"`
	Title string  `json:"title,omitempty"`
}

// Top keeps the best hits of many replies: a heap with the worst kept hit at index 0.
// What it keeps depends only on the hits, not on the order in which they came.
type Top struct {
	limit int
	heap  []Hit
}

// Reset empties the list and keeps its memory for the next query.
func (t *Top) Reset(limit int) {
	clear(t.heap)
	t.limit = limit
	t.heap = t.heap[:0]
}

// Add takes the hits of one reply.
func (t *Top) Add(hits []Hit) {
	for i := range hits {
		t.add(&hits[i])
	}
}

func (t *Top) add(h *Hit) {
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, *h)
		t.up(len(t.heap) - 1)
		return
	}
	if t.limit == 0 || !better(h, &t.heap[0]) {
		return
	}
	t.heap[0] = *h
	t.down()
}

func (t *Top) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !better(&t.heap[parent], &t.heap[i]) {
			return
		}
		t.heap[parent], t.heap[i] = t.heap[i], t.heap[parent]
		i = parent
	}
}

func (t *Top) down() {
	i := 0
	for {
		worst := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if better(&t.heap[worst], &t.heap[child]) {
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

// Sorted returns a copy of the kept hits, best first.
func (t *Top) Sorted() []Hit {
	hits := slices.Clone(t.heap)
	slices.SortFunc(hits, func(a, b Hit) int {
		if better(&a, &b) {
			return -1
		}
		return 1
	})
	return hits
}

// better orders by score, then by document, so that equal replies give equal answers.
func better(a, b *Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return a.Doc < b.Doc
}
