package fleet

import (
	"fmt"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// LogKey is the key of a version's log entry.
func LogKey(v config.Version) string {
	return fmt.Sprintf("config/log/%012d", v)
}

// Value reads a key of the store directly.
func (f *Fleet) Value(key string) ([]byte, bool) {
	var found ports.KVReply
	f.Store.Call(ports.KVGet{Key: key}, func(r ports.KVReply) { found = r })
	item, ok := found.Item()
	return item.Value, ok
}

// Overwrite changes a key of the store directly, as damage does.
func (f *Fleet) Overwrite(key string, value []byte) {
	var found ports.KVReply
	f.Store.Call(ports.KVGet{Key: key}, func(r ports.KVReply) { found = r })
	item, _ := found.Item()
	f.Store.Call(ports.KVPut{Key: key, Value: value, Expect: item.Revision}, func(ports.KVReply) {})
}
