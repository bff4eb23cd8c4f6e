package fleet

import "github.com/tacktally/tacktally/internal/view"

// SetUpstreams applies a whole list, as the change from the current one.
func (f *Fleet) SetUpstreams(list view.List) {
	change := view.ListChange{Version: list.Version, Changed: list.Upstreams}
	listed := map[string]bool{}
	for _, u := range list.Upstreams {
		listed[u.ID] = true
	}
	for id := range f.upstreams {
		if !listed[id] {
			change.Removed = append(change.Removed, id)
		}
	}
	f.ApplyListChange(change)
}
