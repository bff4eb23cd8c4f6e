package fleet

import "github.com/tacktally/tacktally/internal/view"

// SetUpstreams takes a whole list, as the changes that lead to it.
func (f *Fleet) SetUpstreams(list view.List) {
	change := view.ListChange{Version: list.Version, Changed: list.Upstreams}
	named := map[string]bool{}
	for _, u := range list.Upstreams {
		named[u.ID] = true
	}
	for id := range f.upstreams {
		if !named[id] {
			change.Removed = append(change.Removed, id)
		}
	}
	f.ChangeUpstreams(change)
}
