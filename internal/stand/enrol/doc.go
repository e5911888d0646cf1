// Package enrol keeps a stand-in's row on the platform's list of instances.
package enrol
