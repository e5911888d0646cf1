// Package wire holds the JSON messages of the platform's services and of the
// model engines, as they travel over HTTP.
//
// Platform: POST to one of the KV paths takes a KVRequest and answers a
// KVReply; GET PathInstances answers []ports.Instance; POST PathFetch takes a
// FetchRequest and answers when the checkpoint has been read from the weight
// store.
//
// Engine: POST PathOrder takes a ports.Order and answers a ports.OrderReply;
// POST PathGenerate takes a GenerateRequest and answers a stream of Chunk, one
// JSON value a line, the last of which has Done set; POST PathCancel takes a
// CancelRequest; GET PathEvents?after=N answers CacheEvents; GET PathLoad
// answers a LoadReport; GET PathAlive answers 200 at once, whatever the engine
// is doing.
package wire
