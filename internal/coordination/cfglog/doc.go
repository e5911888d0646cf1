// Package cfglog replicates the configuration: it accepts the operators' patches, stores
// them in the KV service as a log and distributes every version to every entry.
//
// The accepted patch of version N is the create-only key config/log/N: the entry that
// creates the key has its patch accepted, so a version number is used only once no matter
// how many entries try. Two entries of each zone, its delegates, watch for the next key;
// the others hear of a higher version by gossip and fetch the patches from a nearby
// entry. Versions are applied in order and never backwards.
//
// Every snapshotInterval versions a snapshot of the whole configuration is written, and
// log entries that it replaces are trimmed.
//
// Part is a state machine without I/O. It receives patches and reads from the operator
// API as events and passes each new configuration to its entry in a ConfigChanged note.
package cfglog
