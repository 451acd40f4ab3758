package disk

import (
	"encoding/json"

	bolt "go.etcd.io/bbolt"

	"marlreel/internal/fleet/agree"
)

const (
	// viewLoadAdvice is what an operator can do about a view that can't be read.
	viewLoadAdvice = "nothing: the proxy uses the settings of its own file until it reaches the keepers"
	// viewSaveAdvice is what an operator can do about a view that can't be written.
	viewSaveAdvice = "make room on the disk"
)

// View returns the stored view of a member, or nil if there is none.
func (d *Disk) View() (*agree.State, error) {
	var view *agree.State
	err := d.db.View(func(tx *bolt.Tx) error {
		return loadSealed(tx.Bucket(bucketMeta), keyView, func(value []byte) error {
			view = &agree.State{}
			return json.Unmarshal(value, view)
		})
	})
	if err != nil {
		return nil, &Error{d.path, err, viewLoadAdvice}
	}
	if view != nil && view.Floors == nil {
		view.Floors = map[string]agree.Floor{}
	}
	return view, nil
}

// SaveView stores a member's view.
func (d *Disk) SaveView(view *agree.State) error {
	value, err := json.Marshal(view)
	if err != nil {
		return &Error{d.path, err, viewSaveAdvice}
	}
	err = d.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyView, seal(value)) })
	if err != nil {
		return &Error{d.path, err, viewSaveAdvice}
	}
	return nil
}
