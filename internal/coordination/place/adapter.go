package place

import "encoding/json"

// Adapter is an adapter that the plan assigns to a replica. Its memory counts as used.
type Adapter struct {
	Checkpoint  string `json:"checkpoint,omitempty"`
	MemoryBytes uint64 `json:"memoryBytes"`
	// Unloading means that the adapter is being removed and may already be gone.
	Unloading bool `json:"unloading,omitempty"`
	Loads
}

// plainAdapter has the fields of Adapter without its methods, so that decoding it does
// not call UnmarshalJSON again.
type plainAdapter Adapter

// UnmarshalJSON decodes a JSON object and rejects unknown fields. It also accepts a plain
// number, the memory in bytes, which older plans contain instead of an object.
func (a *Adapter) UnmarshalJSON(data []byte) error {
	*a = Adapter{}
	if err := json.Unmarshal(data, &a.MemoryBytes); err == nil {
		return nil
	}
	return decodeStrict(data, (*plainAdapter)(a))
}
