// Package drive runs coordination parts: it hands them events one at a time and
// carries out their effects through the interfaces of package ports.
package drive
