// Package cmds holds the commands that run the stand-ins as processes.
package cmds
