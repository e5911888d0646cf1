// Package relay accepts the operators' patches, keeps them in the KV service and
// brings every version to every entry.
//
// The accepted patch of version N is the create-only key config/log/N: whoever
// creates it has had its patch accepted, so a number is given once however many
// entries try. Two entries of each zone wait for the next key; the others hear
// of a higher version by gossip and fetch the patches from an entry near by.
// Nothing is ever applied out of order or backwards.
package relay
