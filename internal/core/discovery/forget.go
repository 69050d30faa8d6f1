package discovery

import "slices"

// maxDeletedItems is the number of deleted items from which the older half is forgotten. What is
// kept is the history of minutes at least, far more than a source of older data is behind.
const maxDeletedItems = 1 << 14

// setItem replaces the item of a key.
func (f *Follower) setItem(it *Item) {
	if f.items[it.Key].Deleted {
		f.deletedItems--
	}
	if it.Deleted {
		f.deletedItems++
	}
	f.items[it.Key] = *it
}

// forgetDeleted drops the older half of the deleted items if there are many. A peer that does not know
// of their deletion learns what there is instead, as from a host that has listed the store since.
func (f *Follower) forgetDeleted() {
	if f.deletedItems <= maxDeletedItems || f.rebuilding {
		return
	}
	revisions := make([]uint64, 0, f.deletedItems)
	for key := range f.items {
		if it := f.items[key]; it.Deleted {
			revisions = append(revisions, it.Revision)
		}
	}
	slices.Sort(revisions)
	f.forgotten = revisions[len(revisions)/2]
	f.knownSince = max(f.knownSince, f.forgotten)
	for key := range f.items {
		it := f.items[key]
		if !it.Deleted || it.Revision > f.forgotten {
			continue
		}
		delete(f.items, key)
		f.deletedItems--
		if f.view.Targets[it.Name] == nil {
			delete(f.targetKeys, it.Name)
		}
	}
}
