// Package quota keeps all instances together within the rate limits that targets name.
//
// A target in need names in its responses how many requests a second it takes from all
// instances together. A Share records at each instance which limits are in force there.
package quota
