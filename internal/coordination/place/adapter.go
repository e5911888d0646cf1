package place

import "encoding/json"

// Adapter is an adapter of a replica that was decided and is charged.
type Adapter struct {
	Checkpoint  string `json:"checkpoint,omitempty"`
	MemoryBytes uint64 `json:"memoryBytes"`
	// Unloading means that the adapter is to go and may have gone.
	Unloading bool `json:"unloading,omitempty"`
	Loads
}

// plainAdapter has the fields of an Adapter without its methods.
type plainAdapter Adapter

// UnmarshalJSON reads the adapter's fields strictly, or its memory alone, as
// plans used to show it.
func (a *Adapter) UnmarshalJSON(data []byte) error {
	*a = Adapter{}
	if err := json.Unmarshal(data, &a.MemoryBytes); err == nil {
		return nil
	}
	return decodeStrict(data, (*plainAdapter)(a))
}
