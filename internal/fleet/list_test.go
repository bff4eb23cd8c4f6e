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
			change.Gone = append(change.Gone, id)
		}
	}
	f.ApplyListChange(change)
}
