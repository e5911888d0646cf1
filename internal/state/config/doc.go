// Package config holds the operators' configuration: its types, its numbered
// versions and the patches that lead from one version to the next.
package config
