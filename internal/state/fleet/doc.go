// Package fleet describes a deployment as an entry instance sees it: the
// operators' configuration, the targets and what each of them holds.
//
// The types are values without behaviour that decides anything; a platform
// adapter fills them in, and the coordination packages read them.
package fleet
